/*
 * One task of a queue, its runs on two workers, and leaders that change.
 *
 * Workers report; a leader commits what a report says of ends, then answers with a lease and the
 * start of a committed run. Answers get lost, which the worker detects by its timeout; leases run out;
 * workers crash and start again; leaders change at any moment. Time is left out: a lease runs out
 * at any moment, and the leader's wait for it is the guard of its decision.
 *
 * Checked: no two runs of the task at one time, and no start after a committed end of a run that was
 * done.
 */

#define W 2
#define RUNS 3
#define TERMS 2
#define CRASHES 1

/* the replicated state, and proposals in flight */
byte number = 0;          /* last run that was committed */
byte at = 0;           /* worker of the run that has not ended */
byte life_at = 0;      /* and its incarnation */
bool busy = false;
bool done = false;     /* a done end is committed */
byte proposed = W;     /* worker of a start that is being committed, W for none */

/* the leader, lost with its term */
byte term = 1;
byte ordered[W];       /* run whose start was last ordered, 0 for none */
bool lapsing = false;  /* the end of the incarnation that holds the run is being committed */

/* the workers */
byte life[W];
byte running[W];
byte buried[W];        /* highest run that ended there */
byte ended[W];         /* run whose done end is not taken note of, 0 for none */
bool lease[W];
byte crashes = 0;

/* one report each: 0 none, 1 in flight, 2 received, 3 answered */
byte report[W];
byte listed[W];        /* run that the report lists as running */
byte over[W];          /* run that the report lists as done */
byte told[W];          /* run to start in the answer, 0 for none */
bool granted[W];       /* a lease in the answer */

inline begin(w, n) {
	running[w] = n;
	assert(running[1 - w] == 0);
	assert(!done);
}

inline finish(w) {
	buried[w] = running[w];
	running[w] = 0;
}

active proctype world() {
	byte w;
	do
	:: atomic {
		select(w : 0 .. 1);
		if
		/* the worker reports */
		:: report[w] == 0 -> report[w] = 1; listed[w] = running[w]; over[w] = ended[w]
		/* the leader hears it */
		:: report[w] == 1 ->
			report[w] = 2;
			if
			:: busy && at == w && life_at == life[w] && over[w] == number && !lapsing -> busy = false; done = true; ended[w] = 0
			:: busy && at == w && life_at < life[w] -> busy = false; lapsing = false
			/* a later report that does not list an ordered run proves that it did not start */
			:: busy && at == w && life_at == life[w] && ordered[w] == number && listed[w] != number && over[w] != number && !lapsing -> busy = false
			:: else
			fi
		/* the leader answers */
		:: report[w] == 2 ->
			report[w] = 3;
			told[w] = 0;
#ifdef MUTANT_ORDERS_WHILE_LAPSING
			granted[w] = true;
#else
			granted[w] = !(lapsing && at == w);
#endif
			if
			:: busy && at == w && life_at == life[w] && granted[w] && listed[w] != number && over[w] != number -> told[w] = number; ordered[w] = number
#ifdef MUTANT_UNCOMMITTED_START
			:: proposed == w && granted[w] && listed[w] != number + 1 -> told[w] = number + 1; ordered[w] = number + 1
#endif
			:: else
			fi
		/* the worker gets the answer */
		:: report[w] == 3 ->
			report[w] = 0;
			lease[w] = lease[w] || granted[w];
			if
			:: told[w] > buried[w] && running[w] == 0 && lease[w] -> begin(w, told[w])
			:: else
			fi;
			told[w] = 0
		/* the worker has waited long enough: the report and its answer are void */
		:: report[w] != 0 -> report[w] = 0; told[w] = 0; granted[w] = false
		/* the lease runs out */
		:: lease[w] ->
			lease[w] = false;
			if
			:: running[w] != 0 -> finish(w)
			:: else
			fi
		/* the task is done */
		:: running[w] != 0 -> ended[w] = running[w]; finish(w)
		/* the worker crashes and starts again */
		:: crashes < CRASHES ->
			crashes++;
			life[w]++;
			running[w] = 0; buried[w] = 0; ended[w] = 0; lease[w] = false; report[w] = 0; told[w] = 0; granted[w] = false
		/* the leader decides that the worker is lost: every lease that may have been granted is over */
#ifdef MUTANT_LOST_EARLY
		:: busy && at == w && !lapsing -> lapsing = true
#else
		:: busy && at == w && !lapsing && !lease[w] && !(report[w] == 3 && granted[w]) -> lapsing = true
#endif
		:: busy && at == w && lapsing -> busy = false; lapsing = false
#ifdef MUTANT_TAKEN_BACK_UNSEEN
		/* the leader takes a start back that it has ordered, without a later report */
		:: busy && at == w && ordered[w] == number && !lapsing -> busy = false
#endif
		/* the leader starts the task, and the start is committed */
		:: !busy && !done && proposed == W && number < RUNS -> proposed = w
		:: proposed == w && !busy && !done -> number++; busy = true; at = w; life_at = life[w]; proposed = W
		/* another leader: what was not committed is lost, and reports that it had received are void */
		:: term < TERMS ->
			term++;
			proposed = W; lapsing = false;
			ordered[0] = 0; ordered[1] = 0;
			if
			:: report[0] == 2 -> report[0] = 0
			:: else
			fi;
			if
			:: report[1] == 2 -> report[1] = 0
			:: else
			fi
		:: else
		fi
	}
	od
}
