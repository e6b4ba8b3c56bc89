/*
 * One task of a queue, its runs on two workers, and leaders that change.
 *
 * Workers report; a leader commits what a report says of ends, then answers with a lease and the
 * start of a committed run. Answers get lost, which the worker detects by its timeout; leases expire;
 * workers crash and start again; leaders change at any moment. Time is left out: a lease expires
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
byte number = 0;              /* last run that was committed */
byte assigned = 0;            /* worker of the run that has not ended */
byte assignedIncarnation = 0; /* and its incarnation */
bool busy = false;
bool done = false; /* a done end is committed */
byte proposed = W; /* worker of a start that is being committed, W for none */

/* the leader, lost with its term */
byte term = 1;
byte ordered[W];       /* run whose start was last ordered, 0 for none */
bool expiring = false; /* the end of the incarnation that holds the run is being committed */

/* the workers */
byte incarnation[W];
byte running[W];
byte lastEnded[W]; /* highest run that ended there */
byte ended[W];     /* run whose done end is not acknowledged, 0 for none */
bool lease[W];
byte crashes = 0;

/* one report each: 0 none, 1 in flight, 2 received, 3 answered */
byte report[W];
byte listed[W];     /* run that the report lists as running */
byte listedDone[W]; /* run that the report lists as done */
byte startOrder[W]; /* run to start in the answer, 0 for none */
bool granted[W];    /* a lease in the answer */

inline begin(w, n) {
	running[w] = n;
	assert(running[1 - w] == 0);
	assert(!done);
}

inline finish(w) {
	lastEnded[w] = running[w];
	running[w] = 0;
}

active proctype world() {
	byte w;
	do
	:: atomic {
		select(w : 0 .. 1);
		if
		/* the worker reports */
		:: report[w] == 0 -> report[w] = 1; listed[w] = running[w]; listedDone[w] = ended[w]
		/* the leader receives it */
		:: report[w] == 1 ->
			report[w] = 2;
			if
			:: busy && assigned == w && assignedIncarnation == incarnation[w] && listedDone[w] == number && !expiring -> busy = false; done = true; ended[w] = 0
			:: busy && assigned == w && assignedIncarnation < incarnation[w] -> busy = false; expiring = false
			/* a later report that does not list an ordered run proves that it did not start */
			:: busy && assigned == w && assignedIncarnation == incarnation[w] && ordered[w] == number && listed[w] != number && listedDone[w] != number && !expiring -> busy = false
			:: else
			fi
		/* the leader answers */
		:: report[w] == 2 ->
			report[w] = 3;
			startOrder[w] = 0;
#ifdef MUTANT_ORDERS_WHILE_EXPIRING
			granted[w] = true;
#else
			granted[w] = !(expiring && assigned == w);
#endif
			if
			:: busy && assigned == w && assignedIncarnation == incarnation[w] && granted[w] && listed[w] != number && listedDone[w] != number -> startOrder[w] = number; ordered[w] = number
#ifdef MUTANT_UNCOMMITTED_START
			:: proposed == w && granted[w] && listed[w] != number + 1 -> startOrder[w] = number + 1; ordered[w] = number + 1
#endif
			:: else
			fi
		/* the worker gets the answer */
		:: report[w] == 3 ->
			report[w] = 0;
			lease[w] = lease[w] || granted[w];
			if
			:: startOrder[w] > lastEnded[w] && running[w] == 0 && lease[w] -> begin(w, startOrder[w])
			:: else
			fi;
			startOrder[w] = 0
		/* the worker has waited long enough: the report and its answer are void */
		:: report[w] != 0 -> report[w] = 0; startOrder[w] = 0; granted[w] = false
		/* the lease expires */
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
			incarnation[w]++;
			running[w] = 0; lastEnded[w] = 0; ended[w] = 0; lease[w] = false; report[w] = 0; startOrder[w] = 0; granted[w] = false
		/* the leader decides that the worker is lost: every lease that may have been granted has expired */
#ifdef MUTANT_LOST_EARLY
		:: busy && assigned == w && !expiring -> expiring = true
#else
		:: busy && assigned == w && !expiring && !lease[w] && !(report[w] == 3 && granted[w]) -> expiring = true
#endif
		:: busy && assigned == w && expiring -> busy = false; expiring = false
#ifdef MUTANT_REVOKED_UNSEEN
		/* the leader revokes a start that it has ordered, without a later report */
		:: busy && assigned == w && ordered[w] == number && !expiring -> busy = false
#endif
		/* the leader starts the task, and the start is committed */
		:: !busy && !done && proposed == W && number < RUNS -> proposed = w
		:: proposed == w && !busy && !done -> number++; busy = true; assigned = w; assignedIncarnation = incarnation[w]; proposed = W
		/* another leader: what was not committed is lost, and reports that it had received are void */
		:: term < TERMS ->
			term++;
			proposed = W; expiring = false;
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
