/*
 * One non-idempotent job that is a gang of two workers, over two attempts. The decisions are
 * one process, as every keeper runs them over the same log. A message that was sent may arrive
 * at any later time, any number of times or never; one from a leader that has been replaced is
 * such a late message. A worker can be cut off; its lease then expires, it stops its part and
 * takes a new incarnation.
 *
 * Properties: the job starts in one attempt at most; an answer "notrun" is true for ever; no
 * part runs longer than a lease after another member was cut off; a lost worker's part has
 * ended when it is declared lost.
 */
#define W 2
#define A 2
#define LEASE 2 /* ticks */

#define IX(a, w) ((a) * W + (w))
#define RUNNING(w) (runs[IX(0, w)] || runs[IX(1, w)])

mtype = { waiting, holding, running, stopping, answered }
mtype = { none, notrun, done, failed, unknown }

/* messages, by attempt and worker */
bool mHold[A * W], mStart[A * W], mRelease[A * W], mStop[A * W];
bool rHeld[A * W], rRefused[A * W], rStopped[A * W], rDone[A * W];

/* workers */
byte incarnation[W];
bool held[A * W], runs[A * W], ended[A * W], closed[A * W];
bool ran[A];
byte lease[W];
bool cut[W];
byte aloneTicks[W]; /* ticks that a part has run while another member was cut off */

/* decisions */
mtype phase = waiting;
mtype answer = none;
byte attempt; /* index of the next attempt */
byte used;    /* index of the current one */
byte member[A * W]; /* incarnation addressed */
bool lost[W], partEnded[W], mayHaveRun[W];
bool cancelled;

#define REACHES(a, w) (!cut[w] && member[IX(a, w)] == incarnation[w])

inline place() {
	atomic {
		phase == waiting && attempt < A && !cut[0] && !cut[1] ->
		used = attempt;
		attempt++;
		phase = holding;
		member[IX(used, 0)] = incarnation[0];
		member[IX(used, 1)] = incarnation[1];
		lost[0] = false; lost[1] = false;
		partEnded[0] = false; partEnded[1] = false;
		mayHaveRun[0] = false; mayHaveRun[1] = false;
		mHold[IX(used, 0)] = true;
		mHold[IX(used, 1)] = true;
	}
}

inline start() {
	atomic {
		phase == holding &&
#ifdef MUTANT_START_ON_ONE
		(rHeld[IX(used, 0)] || rHeld[IX(used, 1)])
#else
		rHeld[IX(used, 0)] && rHeld[IX(used, 1)]
#endif
		->
		assert(rHeld[IX(used, 0)] && rHeld[IX(used, 1)]); /* started only when all hold */
		phase = running;
		mStart[IX(used, 0)] = true;
		mStart[IX(used, 1)] = true;
	}
}

inline withdraw() {
	atomic {
		phase == holding && (rRefused[IX(used, 0)] || rRefused[IX(used, 1)] || cut[0] || cut[1]) ->
		mRelease[IX(used, 0)] = true;
		mRelease[IX(used, 1)] = true;
		phase = waiting;
	}
}

inline cancel() {
	atomic {
		!cancelled && answer == none ->
		cancelled = true;
		if
		:: phase == waiting -> answer = notrun; phase = answered
		:: phase == holding ->
			mRelease[IX(used, 0)] = true;
			mRelease[IX(used, 1)] = true;
			answer = notrun;
			phase = answered
#ifdef MUTANT_CANCEL_RUNNING
		:: phase == running -> answer = notrun; phase = answered
#else
		:: phase == running ->
			mStop[IX(used, 0)] = true;
			mStop[IX(used, 1)] = true;
			phase = stopping
#endif
		:: phase == stopping
		fi;
		assert(!(answer == notrun && (ran[0] || ran[1])));
	}
}

inline declareLost(w) {
	atomic {
		(phase == running || phase == stopping) && cut[w] && !partEnded[w] &&
#ifdef MUTANT_LOST_EARLY
		true
#else
		incarnation[w] > member[IX(used, w)]
#endif
		->
		assert(!runs[IX(used, w)]); /* its part has ended */
		lost[w] = true;
		partEnded[w] = true;
		mayHaveRun[w] = true;
		mStop[IX(used, 0)] = true;
		mStop[IX(used, 1)] = true;
		phase = stopping;
	}
}

inline recordEnd(w) {
	atomic {
		(phase == running || phase == stopping) && !partEnded[w] && (rStopped[IX(used, w)] || rDone[IX(used, w)] || rRefused[IX(used, w)]) ->
		partEnded[w] = true;
		mayHaveRun[w] = !rRefused[IX(used, w)];
		if
		:: !rDone[IX(used, w)] && phase == running ->
			mStop[IX(used, 0)] = true;
			mStop[IX(used, 1)] = true;
			phase = stopping
		:: else
		fi
	}
}

inline conclude() {
	atomic {
		(phase == running || phase == stopping) && partEnded[0] && partEnded[1] ->
		if
		:: rDone[IX(used, 0)] && rDone[IX(used, 1)] -> answer = done; phase = answered
		:: else ->
			if
#ifdef MUTANT_RETRY_UNKNOWN
			:: true -> phase = waiting
#else
			:: mayHaveRun[0] || mayHaveRun[1] ->
				phase = answered;
				if
				:: lost[0] || lost[1] -> answer = unknown
				:: else -> answer = failed
				fi
			:: else ->
				if
				:: cancelled -> answer = notrun; phase = answered
				:: else -> phase = waiting
				fi
#endif
			fi
		fi;
		assert(!(answer == notrun && (ran[0] || ran[1])));
	}
}

proctype decisions() {
	do
	:: place()
	:: start()
	:: withdraw()
	:: cancel()
	:: declareLost(0)
	:: declareLost(1)
	:: recordEnd(0)
	:: recordEnd(1)
	:: conclude()
	od
}

inline applyHold(a, w) {
	atomic {
		mHold[IX(a, w)] && REACHES(a, w) && !held[IX(a, w)] && !runs[IX(a, w)] && !ended[IX(a, w)] ->
		if
		:: closed[IX(a, w)] -> rRefused[IX(a, w)] = true
		:: else -> held[IX(a, w)] = true; rHeld[IX(a, w)] = true
		fi
	}
}

inline refuse(a, w) {
	atomic {
		mHold[IX(a, w)] && REACHES(a, w) && !held[IX(a, w)] && !runs[IX(a, w)] && !ended[IX(a, w)] ->
		closed[IX(a, w)] = true;
		rRefused[IX(a, w)] = true
	}
}

inline applyStart(a, w) {
	atomic {
		mStart[IX(a, w)] && REACHES(a, w) && !runs[IX(a, w)] && !ended[IX(a, w)] ->
		if
#ifdef MUTANT_START_WITHOUT_HOLD
		:: true ->
#else
		:: held[IX(a, w)] && !closed[IX(a, w)] ->
#endif
			held[IX(a, w)] = false;
			runs[IX(a, w)] = true;
			lease[w] = LEASE;
			aloneTicks[w] = 0;
			ran[a] = true;
			assert(!(ran[0] && ran[1]));   /* at most once */
			assert(answer != notrun)       /* notrun is true */
		:: else -> closed[IX(a, w)] = true; rRefused[IX(a, w)] = true
		fi
	}
}

inline applyStop(a, w) {
	atomic {
		(mStop[IX(a, w)] || mRelease[IX(a, w)]) && REACHES(a, w) ->
		if
		:: runs[IX(a, w)] && mStop[IX(a, w)] -> runs[IX(a, w)] = false; ended[IX(a, w)] = true; rStopped[IX(a, w)] = true
		:: !runs[IX(a, w)] && !ended[IX(a, w)] ->
			held[IX(a, w)] = false;
			closed[IX(a, w)] = true;
			if
			:: mStop[IX(a, w)] -> rRefused[IX(a, w)] = true
			:: else
			fi
		:: else
		fi
	}
}

inline finish(a, w) {
	atomic {
		runs[IX(a, w)] ->
		runs[IX(a, w)] = false;
		ended[IX(a, w)] = true;
		if
		:: !cut[w] -> rDone[IX(a, w)] = true
		:: else
		fi
	}
}

/* expire is what a worker does on its own when it has been cut off for a lease. */
inline expire(w) {
	atomic {
		cut[w] && lease[w] == 0 && incarnation[w] < 2 && !RUNNING(w) ->
		held[IX(0, w)] = false; held[IX(1, w)] = false;
#ifndef MUTANT_SAME_INCARNATION
		incarnation[w]++
#else
		skip
#endif
	}
}

inline expireHold(a, w) {
	atomic { held[IX(a, w)] && !cut[w] -> held[IX(a, w)] = false; closed[IX(a, w)] = true }
}

proctype worker(byte w) {
	do
	:: applyHold(0, w)
	:: applyHold(1, w)
	:: refuse(0, w)
	:: refuse(1, w)
	:: applyStart(0, w)
	:: applyStart(1, w)
	:: applyStop(0, w)
	:: applyStop(1, w)
	:: finish(0, w)
	:: finish(1, w)
	:: expire(w)
	:: expireHold(0, w)
	:: expireHold(1, w)
	od
}

/* The clock: homes renew the leases of a gang only while every member is in contact. */
proctype clock() {
	byte w;
	do
	:: atomic {
		lease[0] > 0 || lease[1] > 0 ->
		w = 0;
		do
		:: w < W ->
			if
			:: RUNNING(w) && (cut[0] || cut[1]) -> aloneTicks[w]++
			:: else -> aloneTicks[w] = 0
			fi;
			if
#ifdef MUTANT_RENEW_ALONE
			:: RUNNING(w) && !cut[w] -> lease[w] = LEASE
#else
			:: RUNNING(w) && !cut[0] && !cut[1] -> lease[w] = LEASE
#endif
			:: else ->
				if
				:: lease[w] > 0 -> lease[w]--
				:: else
				fi;
				if
				:: lease[w] == 0 && RUNNING(w) && !cut[w] ->
					if
					:: runs[IX(0, w)] -> runs[IX(0, w)] = false; ended[IX(0, w)] = true; rStopped[IX(0, w)] = true
					:: else -> runs[IX(1, w)] = false; ended[IX(1, w)] = true; rStopped[IX(1, w)] = true
					fi
				:: lease[w] == 0 && RUNNING(w) && cut[w] ->
					runs[IX(0, w)] = false; runs[IX(1, w)] = false;
					held[IX(0, w)] = false; held[IX(1, w)] = false;
#ifndef MUTANT_SAME_INCARNATION
					incarnation[w]++
#endif
				:: else
				fi
			fi;
			assert(aloneTicks[w] < LEASE || !RUNNING(w)); /* no part outlives the lease */
			w++
		:: else -> break
		od;
		w = 0
	}
	od
}

/* The network cuts a worker off and heals once it has taken its new incarnation. */
proctype network() {
	byte cuts;
	do
	:: atomic { cuts < 2 && !cut[0] && !cut[1] -> cut[0] = true; cuts++ }
	:: atomic { cuts < 2 && !cut[0] && !cut[1] -> cut[1] = true; cuts++ }
	:: atomic { cut[0] && lease[0] == 0 -> cut[0] = false }
	:: atomic { cut[1] && lease[1] == 0 -> cut[1] = false }
	od
}

init {
	atomic {
		run decisions();
		run worker(0);
		run worker(1);
		run clock();
		run network()
	}
}
