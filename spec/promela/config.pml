/* The configuration: operators who race, gateways that follow.
 *
 * The table holds a revision and one cell; an edit is one transaction on both, and the change log keeps who made each
 * revision. An operator's answer may be lost, so the same edit is sent again after a look into the log. Gateways read the
 * table (a read may be stale), fetch from a peer, restart empty, are cut off.
 *
 * The rules are those of org.wingstall.platform.ConfigEditor and org.wingstall.core.config.ConfigStore. With a BROKEN_ macro
 * one guard is taken away, and the checker must find a violation.
 */
#define OPERATORS 2
#define GATEWAYS 2
#define REVISIONS 5
#define TRIES 3

byte revision = 0;
byte cell = 0;                  /* value of the cell: 0, or operator + 1 */
byte log_by[REVISIONS];         /* log_by[r - 1]: operator + 1 that made revision r */
byte log_before[REVISIONS];     /* the value that the edit replaced */

byte applied[GATEWAYS];         /* 0: nothing yet */
byte content[GATEWAYS];

bool accepted[OPERATORS];

proctype operator(byte me) {
  byte seen_revision, expected, tries, i;
  bool made;

  expected = cell;                                      /* what the operator sees when making the edit */
again:
  if
  :: tries == TRIES -> goto stopped
  :: else -> tries++
  fi;
  atomic {
    seen_revision = revision;
#ifndef BROKEN_NO_LOOK_UP
    i = 0; made = false;
    do
    :: i < seen_revision -> if
                            :: log_by[i] == me + 1 -> made = true
                            :: else
                            fi; i++
    :: else -> break
    od;
    i = 0;
    if
    :: made -> accepted[me] = true; goto stopped       /* an earlier try took effect */
    :: else
    fi;
#endif
    if
#ifndef BROKEN_NO_CELL_COMPARE
    :: cell != expected ->                              /* typed conflict with both values */
         do
         :: i < revision -> assert(log_by[i] != me + 1); i++   /* only for an edit that took no effect */
         :: else -> break
         od;
         i = 0;
         goto stopped
#endif
    :: else
    fi
  }
  /* the transaction lands later; its condition is on the revision */
  atomic {
    if
#ifdef BROKEN_NO_REVISION_COMPARE
    :: true ->
#else
    :: revision == seen_revision ->
#endif
         if
         :: revision < REVISIONS ->
              log_by[revision] = me + 1;
              log_before[revision] = cell;
              assert(cell == expected);                 /* no edit overwrites one that its operator has not seen */
              cell = me + 1;
              revision++;
              i = 0; made = false;
              do
              :: i + 1 < revision -> assert(log_by[i] != me + 1); i++   /* an edit takes effect at most once */
              :: else -> break
              od;
              i = 0
         :: else -> goto stopped
         fi;
         if
         :: accepted[me] = true; goto stopped
         :: skip                                        /* the answer is lost */
         fi
    :: else                                             /* another edit came first */
    fi
  }
  goto again;

stopped:
  atomic { seen_revision = 0; expected = 0; tries = 0 }
}

inline apply(g, r) {
  assert(r >= applied[g] || applied[g] == 0);           /* in force never goes back within a life of a gateway */
  applied[g] = r;
  content[g] = log_by[r - 1];
}

proctype gateway(byte me) {
  byte r;
  byte restarts;
end:
  do
  :: atomic {                                           /* read the table; the read may be stale */
       revision > 0 ->
       select(r : 1 .. 5);
       if
       :: r <= revision ->
#ifdef BROKEN_APPLY_LOWER
            apply(me, r)
#else
            if
            :: r > applied[me] -> apply(me, r)
            :: else
            fi
#endif
       :: else
       fi;
       r = 0
     }
  :: atomic {                                           /* fetch from the peer */
       applied[1 - me] > 0 ->
#ifdef BROKEN_PEER_BACKWARDS
       apply(me, applied[1 - me])
#else
       if
       :: applied[1 - me] > applied[me] -> apply(me, applied[1 - me])
       :: else
       fi
#endif
     }
  :: atomic { restarts < 1 && applied[me] > 0 -> restarts++; applied[me] = 0; content[me] = 0 }   /* no disk */
  od
}

init {
  atomic {
    run operator(0);
    run operator(1);
    run gateway(0);
    run gateway(1)
  }
}
