/* Orders to an engine under a lease with a growing token.
 *
 * Two boxes want the lease; its row lies in the platform's table and is written by compare-and-set. Time is left out: a
 * box that holds the lease may be paused anywhere, and another one may take the lease over at any moment, as if the first
 * one's time had run out. So whatever holds here rests on tokens and on giving targets, not on clocks. An order is on its
 * way until it lands, in any order with others, or is lost. Operators change the wanted target.
 *
 * CHECKS: the engine refuses an order whose token is lower than one it has seen. Without it the engine takes every order.
 *
 * Properties: an engine that checks never goes from a later holder's order back to an earlier holder's. When the operators
 * are done, no order is on its way and a holder is left in peace, the engine has what is wanted.
 */
#ifndef CHECKS
#define CHECKS 1
#endif
#define BOXES 2
#define SLOTS 2          /* orders of one box on their way */
#define MOST_TOKEN 3
#define MOST_TARGET 2

byte lease_token = 0;
byte lease_holder = 0;   /* box + 1 */
byte term = 0;           /* take-overs so far; for the property only */
byte wanted = 1;

byte engine_target = 0;
byte engine_token = 0;   /* highest token seen */
byte engine_term = 0;    /* term of the order that it took last */

bool o_used[BOXES * SLOTS];
byte o_token[BOXES * SLOTS];
byte o_target[BOXES * SLOTS];
byte o_term[BOXES * SLOTS];
bool calm = false;       /* no more changes, take-overs or losses */

inline land(s) {
  if
#if CHECKS && !defined(BROKEN_NO_TOKEN_CHECK)
  :: o_token[s] < engine_token -> skip                 /* refused */
#endif
  :: else ->
       assert(!CHECKS || o_term[s] >= engine_term);    /* never back to an earlier holder's order */
       engine_target = o_target[s];
       engine_term = o_term[s];
       if
       :: o_token[s] > engine_token -> engine_token = o_token[s]
       :: else
       fi
  fi;
  o_used[s] = false; o_token[s] = 0; o_target[s] = 0; o_term[s] = 0
}

/* Delivers the orders of one slot, late or never. */
active [BOXES * SLOTS] proctype wire() {
end:
  do
  :: atomic { o_used[_pid] -> land(_pid) }
  :: atomic { o_used[_pid] && !calm -> o_used[_pid] = false; o_token[_pid] = 0; o_target[_pid] = 0; o_term[_pid] = 0 }
  od
}

active proctype operators() {
  do
  :: wanted < MOST_TARGET -> wanted++
  :: true -> break
  od;
  calm = true
}

/* A box: takes the lease when it may, looks at the engine, orders what it saw wanted when they differ. */
active [BOXES] proctype box() {
  byte token = 0, mine, target, seen, slot;
  byte me = _pid - BOXES * SLOTS - 1;
end:
  do
  :: atomic { !calm && lease_holder != me + 1 && term < MOST_TOKEN ->
       lease_token++; term++; lease_holder = me + 1; token = lease_token; mine = term }
#ifdef BROKEN_SAME_TOKEN
  :: atomic { !calm && lease_holder != me + 1 && term < MOST_TOKEN && lease_token > 0 ->
       term++; lease_holder = me + 1; token = lease_token; mine = term }
#endif
  :: token > 0 ->
       atomic { target = wanted; seen = engine_target }
       /* a pause of any length */
       if
#ifdef BROKEN_ORDER_ONCE
       :: seen == 0 ->
#else
       :: seen != target ->
#endif
            slot = me * SLOTS;
            do
            :: slot < (me + 1) * SLOTS && o_used[slot] -> slot++
            :: else -> break
            od;
            atomic {
              if
              :: slot < (me + 1) * SLOTS -> o_used[slot] = true; o_token[slot] = token; o_target[slot] = target; o_term[slot] = mine
              :: else
              fi;
              slot = 0; target = 0; seen = 0
            }
       :: else -> atomic { target = 0; seen = 0 }
       fi
  :: atomic { token > 0 && lease_holder != me + 1 -> token = 0 }       /* sees that it has lost the lease */
  od
}

/* With fairness: once calm, the engine comes to what is wanted and stays there. */
ltl converges { (<> [] (calm && lease_token > 0)) -> <> [] (engine_target == wanted) }
