/*
 * The replacement of a machine beside the loss of another machine's disk, in a group of three
 * voters that changes one voter at a time. A data folder stands for each member: 0, 1 and 2 are
 * the first voters, 3 is the successor of 0, and 4 the new folder of the machine of 1. Elections
 * and votes are those of raft.pml, in one step each; a write is synced at once. An entry is known
 * by its term and the voters that hold from it on; each leader begins with one of its own.
 *
 * The environment tells 0 to stop, or ends it without notice, and wipes the disk of 1. That one of
 * three machines is lost at a time means here:
 * - a stop takes longer than the two changes for which it is the reason, so that 0 ends after them;
 * - without notice nobody knows of the end of 0 before its silence has lasted, and the other disk
 *   is not lost before the changes that follow from that;
 * - 0 does not end while 1 is being replaced.
 *
 * Sizes: three terms, logs of eight entries. All members take requests for votes of the new folder, as
 * these name it (replicator.NamesFolder); a leader sends it entries once the lost one is removed.
 *
 * Properties: a committed entry stands in the log of every later leader; as long as the
 * environment keeps to that, the running folders can elect a leader.
 */
#define N 5
#ifndef T
#define T 3 /* terms 1..T */
#define L 8 /* entries of a log */
#endif
#define FIRST 7 /* the first voters */

bool alive[N];
byte term[N];
byte size[N];
byte log_[N * L];   /* term * 32 + voters */
bool leads[N];
byte acked[N];      /* entries confirmed in the node's term */
byte committed[N];  /* entries that a leader knows as committed in its term */
byte lastTerm;      /* the highest term so far */
byte chosen[L];
byte chosenLen;
bool started;
bool leaving;       /* 0 was told to stop */
bool ended;         /* 0 is gone for good */
bool silent;        /* the silence of 0 has lasted */
bool wiped;
bool back;          /* the machine of 1 runs with its new folder */

#define ENTRY(n) (log_[(n) * L + size[n] - 1])
#define VOTERS(n) (size[n] == 0 -> 0 : ENTRY(n) % 32)
#define LASTTERM(n) (size[n] == 0 -> 0 : ENTRY(n) / 32)
#define IN(v, m) (((m) >> (v)) & 1)
#define COUNT(m) (IN(0, m) + IN(1, m) + IN(2, m) + IN(3, m) + IN(4, m))
#define NOTLATER(v, n) (LASTTERM(v) < LASTTERM(n) || (LASTTERM(v) == LASTTERM(n) && size[v] <= size[n]))
#define GRANTS(v, n) (alive[v] && IN(v, VOTERS(n)) && NOTLATER(v, n))
/* A folder that is no voter by its own log campaigns as well: it may hold the longest one. */
#ifdef MUTANT_VOTERS_CAMPAIGN
#define CAMPAIGNS(n) (alive[n] && size[n] > 0 && IN(n, VOTERS(n)))
#else
#define CAMPAIGNS(n) (alive[n] && size[n] > 0)
#endif
#define ELECTABLE(n) (CAMPAIGNS(n) && \
	2 * (GRANTS(0, n) + GRANTS(1, n) + GRANTS(2, n) + GRANTS(3, n) + GRANTS(4, n)) > COUNT(VOTERS(n)))
#define ACKS(v, n) (IN(v, VOTERS(n)) && (v == n || (term[v] == term[n] && acked[v] == size[n])))
#define ACKCOUNT(n) (ACKS(0, n) + ACKS(1, n) + ACKS(2, n) + ACKS(3, n) + ACKS(4, n))
/* CHOSEN are the voters of the last committed entry. */
#define CHOSEN (chosenLen == 0 -> FIRST : chosen[chosenLen - 1] % 32)
#define CAUGHTUP(v, n) (alive[v] && term[v] == term[n] && acked[v] == size[n])

inline append(n, voters) {
	log_[n * L + size[n]] = term[n] * 32 + (voters);
	size[n]++
}

/* elect makes a leader of n by the votes of some that grant them, if they are a majority. */
inline elect(n) {
	atomic {
		lastTerm < T && size[n] < L && !leads[n] && ELECTABLE(n) ->
		set = VOTERS(n) & (1 << n);
		i = 0;
		do
		:: i < N && i != n && GRANTS(i, n) -> set = set | (1 << i); i++
		:: i < N -> i++
		:: i == N -> break
		od;
		i = 0;
		if
		:: 2 * COUNT(set) > COUNT(VOTERS(n)) ->
			lastTerm++;
			do
			:: i < N ->
				if
				:: IN(i, set) -> term[i] = lastTerm; leads[i] = false; acked[i] = 0
				:: else
				fi;
				i++
			:: else -> break
			od;
			i = 0;
			do
			:: i < chosenLen ->
				assert(i < size[n] && log_[n * L + i] == chosen[i]); /* committed entries stay */
				i++
			:: else -> break
			od;
			i = 0;
			term[n] = lastTerm;
			leads[n] = true;
			committed[n] = 0;
			append(n, VOTERS(n))
		:: else
		fi;
		set = 0
	}
}

/* replicate gives the log of a leader to another folder. */
inline replicate(n, v) {
	atomic {
		v != n && leads[n] && (v != 4 || !IN(1, VOTERS(n))) && /* the new folder is refused under the name of the lost one */
		alive[n] && alive[v] && term[v] <= term[n] && !(term[v] == term[n] && acked[v] == size[n]) ->
		term[v] = term[n];
		leads[v] = false;
		acked[v] = size[n];
		do
		:: i < L ->
			if
			:: i < size[n] -> log_[v * L + i] = log_[n * L + i]
			:: else -> log_[v * L + i] = 0
			fi;
			i++
		:: else -> break
		od;
		i = 0;
		size[v] = size[n]
	}
}

inline commit(n) {
	atomic {
		leads[n] && alive[n] && committed[n] < size[n] && 2 * ACKCOUNT(n) > COUNT(VOTERS(n)) ->
		committed[n] = size[n];
		do
		:: i < size[n] ->
			assert(i >= chosenLen || chosen[i] == log_[n * L + i]);
			chosen[i] = log_[n * L + i];
			i++
		:: else -> break
		od;
		i = 0;
		if
		:: size[n] > chosenLen -> chosenLen = size[n]
		:: else
		fi
	}
}

/* READY is whether a leader may change the members: its last entry is committed, and of its term. */
#ifdef MUTANT_CHANGES_OVERLAP
#define READY(n) (leads[n] && alive[n] && size[n] < L)
#else
#define READY(n) (leads[n] && alive[n] && size[n] < L && committed[n] == size[n])
#endif

/* The reasons to replace a voter: its disk is known to be lost, or it stops or is silent. */
#define LOST (wiped && back)
#ifdef MUTANT_SILENCE_ALONE
#define LEAVING (silent)
#else
#define LEAVING (leaving || silent)
#endif
#define REMOVABLE(m) ((IN(1, m) && LOST) || (IN(0, m) && LEAVING))
#define PROMOTABLE(v, n) (CAUGHTUP(v, n) && !IN(v, VOTERS(n)))

/* promote makes a voter of a learner that is caught up, as repairer.changeVoter does. */
inline promote(n, v) {
	atomic {
		READY(n) && PROMOTABLE(v, n) && COUNT(VOTERS(n)) <= 3 &&
#ifdef MUTANT_REMOVE_FIRST
		COUNT(VOTERS(n)) < 3
#else
		(REMOVABLE(VOTERS(n)) || COUNT(VOTERS(n)) < 3)
#endif
		-> append(n, VOTERS(n) | (1 << v))
	}
}

/* dropLost removes the voter whose disk is lost: first of all if there is one voter more than wanted, or if no learner can be
 * promoted. */
inline removeLost(n) {
	atomic {
		READY(n) && IN(1, VOTERS(n)) && LOST && (COUNT(VOTERS(n)) > 3 || (COUNT(VOTERS(n)) == 3 && !PROMOTABLE(3, n)))
		-> append(n, VOTERS(n) & 29)
	}
}

/* dropGoing removes the voter that stops or is silent, which may be the leader itself. */
inline removeLeaving(n) {
	atomic {
		READY(n) && IN(0, VOTERS(n)) && LEAVING && !(IN(1, VOTERS(n)) && LOST) &&
#ifdef MUTANT_REMOVE_FIRST
		COUNT(VOTERS(n)) >= 3
#else
		COUNT(VOTERS(n)) > 3
#endif
		-> append(n, VOTERS(n) & 30)
	}
}

/* swap replaces a voter in one entry. The majorities of both memberships need not meet. */
inline swap(n) {
	atomic { READY(n) && PROMOTABLE(3, n) && IN(0, VOTERS(n)) && LEAVING && n != 0 -> append(n, (VOTERS(n) & 30) | 8) }
}

/* REPLACED is whether a committed membership does without 0. */
#define REPLACED (!IN(0, CHOSEN))
/* REPAIRED is whether three voters have their disks, as far as 1 is concerned. */
#define REPAIRED (!IN(1, CHOSEN) && COUNT(CHOSEN) == 3)
/* SUCCEEDED is whether the successor of 0 has had its time to catch up. */
#define SUCCEEDED (chosenLen > 0 && size[3] >= chosenLen)

proctype environment() {
	do
	:: atomic { !leaving && !ended -> leaving = true }
	:: atomic {
		!ended &&
#ifdef MUTANT_SILENCE_ALONE
		SUCCEEDED && (!wiped || REPAIRED)
#else
		((leaving && REPLACED) || (!leaving && SUCCEEDED && (!wiped || REPAIRED)))
#endif
		->
		ended = true;
		alive[0] = false;
		leads[0] = false
	}
	:: atomic { ended && !silent -> silent = true }
	:: atomic {
		!wiped &&
#ifdef MUTANT_SILENCE_ALONE
		(!ended || REPLACED || leaving)
#else
		(!ended || REPLACED)
#endif
		->
		wiped = true;
		alive[1] = false;
		leads[1] = false
	}
	:: atomic {
		wiped && !back ->
		back = true;
#ifdef MUTANT_NEW_FOLDER_VOTES
		alive[1] = true;
		term[1] = 0;
		size[1] = 0;
		acked[1] = 0
#else
		alive[4] = true
#endif
	}
	od
}

proctype folder(byte n) {
	byte i;
	byte set;
	do
	:: elect(n)
	:: replicate(n, 0)
	:: replicate(n, 1)
	:: replicate(n, 2)
	:: replicate(n, 3)
	:: replicate(n, 4)
	:: commit(n)
#ifdef MUTANT_SWAP
	:: swap(n)
#else
	:: promote(n, 3)
	:: promote(n, 4)
	:: removeLeaving(n)
	:: removeLost(n)
#endif
	od
}

/* A leader can be elected at any time. */
active proctype watch() {
	atomic { started && !(ELECTABLE(0) || ELECTABLE(1) || ELECTABLE(2) || ELECTABLE(3) || ELECTABLE(4)) -> assert(false) }
}

init {
	atomic {
		byte v;
		for (v : 0 .. 2) {
			alive[v] = true;
			size[v] = 1;
			log_[v * L] = FIRST
		}
		alive[3] = true;
		started = true;
		run folder(0);
		run folder(1);
		run folder(2);
		run folder(3);
		run folder(4);
		run environment()
	}
}
