/*
 * Two operators race manifests with equal versions and send them again after lost answers; the
 * log decides. Two daemons take copies, also late ones. A content is the operator's number.
 *
 * Properties: one version is one content everywhere; the version in force never goes down, at a
 * daemon neither; an operator that was told of success is told so again.
 */
#define V 2 /* versions 1..V */

byte inForce;          /* version */
byte content[V + 1];   /* version to its content, 0 for none */
byte copy[2];          /* daemon to its version */
byte copyContent[2];
bool told[2 * (V + 1)]; /* operator and version: success was reported */
bool sent[V + 1];      /* version was pushed at some time */

inline apply(o, v) {
	atomic {
		if
#ifdef MUTANT_LAST_WINS
		:: v > 0 ->
#else
		:: v > inForce ->
#endif
			inForce = v;
			assert(content[v] == 0 || content[v] == o + 1); /* one version, one content */
			content[v] = o + 1;
			sent[v] = true;
			told[o * (V + 1) + v] = true
#ifdef MUTANT_FORGET_VERSION
		:: v <= inForce -> assert(!told[o * (V + 1) + v])
#else
		:: v <= inForce && content[v] == o + 1 -> told[o * (V + 1) + v] = true
		:: v <= inForce && content[v] != o + 1 -> assert(!told[o * (V + 1) + v])
#endif
		fi
	}
}

inline install(d, v) {
	atomic {
		sent[v] &&
#ifdef MUTANT_REVERT
		true
#else
		v > copy[d]
#endif
		->
		assert(v >= copy[d]); /* never goes down */
		copy[d] = v;
		copyContent[d] = content[v];
		assert(copy[0] != copy[1] || copyContent[0] == copyContent[1])
	}
}

active [2] proctype operator() {
	byte o = _pid;
	do
	:: apply(o, 1)
	:: apply(o, 2)
	od
}

active [2] proctype daemon() {
	byte d = _pid - 2;
	do
	:: install(d, 1)
	:: install(d, 2)
	od
}
