/* Orders under a fenced lease: two nodes hold the lease in turn and may pause
 * between their last check and the send. Engine 0 checks the fence, engine 1
 * ignores it. See README.md for the code behind each transition. */

#define HOLDERS 2
#define ENGINES 2
#define MAX_TERMS 3
#define MAX_ORDERS 3

/* The store's record. */
bool live = false;
byte fence = 0;

/* Counts changes of holder; only the assertions read it. */
byte term = 0;

/* Whether a holder's own clock still allows sending. It closes before the
 * store's lease lapses. */
bool window[HOLDERS];

byte engine_fence[ENGINES];
byte engine_term[ENGINES];
/* The placement that an engine has: the id of the holder that wanted it, plus
 * one. */
byte engine_state[ENGINES];
byte stale[HOLDERS];

proctype Holder(byte id) {
  byte my_fence;
  byte my_term;
  byte orders;
  byte target;

  do
  :: /* Acquires the lapsed lease. */
     atomic {
       !live && !window[id] && term < MAX_TERMS ->
       live = true;
       term++;
#ifndef BROKEN
       fence++;
#endif
       my_fence = fence;
       my_term = term;
       orders = 0;
       window[id] = true
     }
  :: /* Reads an engine's state, finds it wrong, and checks the window. */
     atomic {
       window[id] && (engine_state[0] != id + 1 || engine_state[1] != id + 1) ->
       if
       :: engine_state[0] != id + 1 -> target = 0
       :: engine_state[1] != id + 1 -> target = 1
       fi
     };
     /* A pause of any length. */
     atomic {
       if
       :: target == 0 && my_fence < engine_fence[0] -> skip /* Refused. */
       :: else ->
          if
          :: my_term < engine_term[target] ->
             stale[id]++;
             /* An engine that checks never applies a stale order; the other
              * one applies at most the order that was already checked. */
             assert(target == 1);
             assert(stale[id] <= my_term)
          :: else -> engine_term[target] = my_term
          fi;
          if
          :: my_fence > engine_fence[target] -> engine_fence[target] = my_fence
          :: else
          fi;
          engine_state[target] = id + 1
       fi;
       target = 0
     }
  :: term == MAX_TERMS && !window[id] && !live -> break
  :: atomic { term == MAX_TERMS && window[id] &&
              engine_state[0] == id + 1 && engine_state[1] == id + 1 &&
              timeout } -> break
  od
}

/* The lease lapses: the holder is paused, dead or cut off. */
proctype Clock() {
  do
  :: atomic { live && term < MAX_TERMS && window[0] -> window[0] = false; live = false }
  :: atomic { live && term < MAX_TERMS && window[1] -> window[1] = false; live = false }
  :: term == MAX_TERMS -> break
  od
}

/* When nothing moves any more, the last holder's placement is in force on both
 * engines, also after a stale order. */
active proctype Monitor() {
  timeout ->
  assert(!window[0] || (engine_state[0] == 1 && engine_state[1] == 1));
  assert(!window[1] || (engine_state[0] == 2 && engine_state[1] == 2))
}

init {
  atomic {
    run Holder(0);
    run Holder(1);
    run Clock()
  }
}
