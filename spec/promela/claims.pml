/* Claims of a non-repeatable request: attempts at one idempotency key, of which at most one may run.
 *
 * The platform's table holds one row with a version. A write carries the version that it expects. A write may land late,
 * after its sender stopped waiting, or never; its answer may be lost. Reads are definite when they are answered. An attempt
 * may crash anywhere, and any pause is some interleaving: between a read and what follows on it too, so that a read by way
 * of a peer, which comes late, is covered. A batch is a write that lands together with others; each row of it
 * is answered for itself.
 *
 * The rules are those of org.wingstall.core.claim.ClaimProtocol. With a BROKEN_ macro one guard is taken away, and the
 * checker must find a violation.
 */
#ifndef ATTEMPTS
#define ATTEMPTS 2
#endif
#ifndef TRIES
#define TRIES 2       /* writes of a claim by each attempt */
#endif
#ifndef WRITES
#define WRITES 3      /* writes of one attempt that are under way at once */
#endif
#ifndef ABANDONS
#define ABANDONS 2    /* tries to abandon */
#endif

#define ABSENT 0
#define CLAIMED 1
#define DONE 2
#define ABANDONED 3

#define NONE 0
#define COMMITTED 1
#define CONFLICT 2

/* the row */
byte row_state = ABSENT;
byte row_owner = 0;
byte row_version = 0;

/* writes under way: slot a * WRITES + i belongs to attempt a */
bool w_used[ATTEMPTS * WRITES];
byte w_expect[ATTEMPTS * WRITES];
byte w_state[ATTEMPTS * WRITES];

/* the answer to the write that an attempt waits for */
byte answer[ATTEMPTS];
byte awaited[ATTEMPTS];   /* slot + 1, 0 when it waits for none */

/* history, for the properties */
byte runs = 0;
bool ran[ATTEMPTS];
bool told_not_run[ATTEMPTS];
byte recorded_by = 0;     /* attempt + 1 */

inline land(s) {
  if
  :: w_expect[s] == row_version ->
       row_state = w_state[s];
       row_owner = s / WRITES;
       row_version++;
       if
       :: row_state == DONE ->
            assert(recorded_by == 0 || recorded_by == s / WRITES + 1);  /* one record for ever */
            assert(ran[s / WRITES]);                                     /* of an attempt that ran */
            recorded_by = s / WRITES + 1
       :: else
       fi;
       if
       :: awaited[s / WRITES] == s + 1 -> answer[s / WRITES] = COMMITTED
       :: true                          /* the answer is lost */
       fi
  :: else ->
       if
#ifdef BROKEN_BATCH_ANSWERS_ALL
       :: awaited[s / WRITES] == s + 1 -> answer[s / WRITES] = COMMITTED
#else
       :: awaited[s / WRITES] == s + 1 -> answer[s / WRITES] = CONFLICT
#endif
       :: true
       fi
  fi;
  w_used[s] = false; w_expect[s] = 0; w_state[s] = 0
}

/* Delivers writes in any order, late or never. */
active proctype network() {
  byte s;
end:
  do
  :: atomic {
       select(s : 0 .. (ATTEMPTS * WRITES - 1));
       if
       :: w_used[s] -> if
                       :: land(s)
                       :: w_used[s] = false; w_expect[s] = 0; w_state[s] = 0    /* lost on the way */
                       fi
       :: else
       fi;
       s = 0
     }
  od
}

/* Puts a write under way; when all slots are taken the attempt can't send and stops. */
inline send(expect, state) {
  slot = me * WRITES;
  do
  :: slot < (me + 1) * WRITES && w_used[slot] -> slot++
  :: else -> break
  od;
  if
  :: slot == (me + 1) * WRITES -> goto stopped
  :: else
  fi;
  w_used[slot] = true; w_expect[slot] = expect; w_state[slot] = state;
  answer[me] = NONE; awaited[me] = slot + 1
}

proctype attempt(byte me) {
  byte slot, expect, tries, seen;

  /* acquire */
  expect = 0;
write:
  if
  :: tries == TRIES -> goto give_up
  :: else -> tries++
  fi;
  atomic { send(expect, CLAIMED) }
  if
  :: atomic { answer[me] == COMMITTED -> awaited[me] = 0; answer[me] = NONE; goto execute }
  :: atomic { answer[me] == CONFLICT -> awaited[me] = 0; answer[me] = NONE; goto decide }
  :: atomic { awaited[me] = 0; answer[me] = NONE }                              /* no answer in time */
#ifdef BROKEN_RUN_UNANSWERED
     goto execute
#else
     if
     :: goto decide                                               /* read back */
     :: goto give_up                                              /* the table can't be read either */
     :: goto stopped                                              /* crash */
     fi
#endif
  fi;

decide:
  atomic {
    if
    :: row_state == ABSENT -> expect = row_version; goto write
    :: row_state == CLAIMED && row_owner == me -> goto execute
    :: row_state == CLAIMED && row_owner != me ->
#ifdef BROKEN_TAKE_OVER_CLAIMED
         expect = row_version; goto write
#else
         goto stopped                                             /* in progress, or unknown */
#endif
    :: row_state == DONE -> goto stopped                          /* the recorded answer */
    :: row_state == ABANDONED -> expect = row_version; goto write
    fi
  }

execute:
  if
  :: goto give_up                                                 /* no endpoint: nothing was handed over */
  :: goto stopped                                                 /* crash before the run */
  :: skip
  fi;
  atomic {
    assert(!told_not_run[me]);
    ran[me] = true;
    runs++;
    assert(runs <= 1)                                             /* at most once */
  }
#ifdef BROKEN_ABANDON_AFTER_RUN
  if
  :: goto give_up
  :: skip
  fi;
#endif
  /* record; the row is ours, so its version is what it was */
  tries = 0;
record:
  if
  :: tries == TRIES -> goto stopped
  :: else -> tries++
  fi;
  atomic {
    if
    :: row_state == CLAIMED && row_owner == me -> send(row_version, DONE)
    :: else -> goto stopped
    fi
  }
  if
  :: atomic { answer[me] != NONE -> awaited[me] = 0; answer[me] = NONE; goto stopped }
  :: atomic { awaited[me] = 0; answer[me] = NONE }; goto record
  :: goto stopped                                                 /* crash */
  fi;

give_up:
  atomic {
#ifndef BROKEN_ABANDON_AFTER_RUN
    assert(!ran[me]);
#endif
    told_not_run[me] = true
  }
  tries = 0;
abandon:
  if
  :: tries == ABANDONS -> goto stopped
  :: tries < ABANDONS -> tries++
  :: goto stopped                                                 /* crash */
  fi;
  atomic {
    if
    :: row_state == DONE -> goto stopped
    :: row_state == CLAIMED && row_owner != me ->
#ifdef BROKEN_ABANDON_ANYBODY
         expect = row_version
#else
         goto stopped
#endif
    :: row_state == ABANDONED && row_owner == me -> goto stopped
    :: else -> expect = row_version
    fi;
    seen = expect
  }
  atomic { send(seen, ABANDONED) }
  if
  :: atomic { answer[me] == COMMITTED -> awaited[me] = 0; answer[me] = NONE; goto stopped }
  :: atomic { awaited[me] = 0; answer[me] = NONE }; goto abandon
  fi;

stopped:
  atomic { awaited[me] = 0; answer[me] = NONE; slot = 0; expect = 0; tries = 0; seen = 0 }
}

init {
  byte a;
  atomic {
    do
    :: a < ATTEMPTS -> run attempt(a); a++
    :: else -> break
    od;
    a = 0
  }
}
