/* Publication of configurations: two publishers replace the head by
 * compare-and-swap, answers may be lost, and nodes learn of heads by delayed
 * announcements. See README.md for the code behind each transition. */

#define PUBLISHERS 2
#define NODES 2
#define MAX_REVISION 4
#define MAX_TRIES 2

#define NONE 0

/* history[r] is the nonce of the publication that made revision r. */
byte head = 0;
byte history[MAX_REVISION + 1];

/* announced[r]: some message that announces revision r is still on its way. */
bool announced[MAX_REVISION + 1];

byte applied[NODES];

inline Announce(r) {
  announced[r] = true
}

/* The nonce of try t of publisher p; never NONE. */
#define NONCE(p, t) (1 + (p) * MAX_TRIES + (t))

proctype Publisher(byte id) {
  byte base;
  byte tries = 0;
  byte nonce;
  byte i;
  bool found;
  bool is_written;

  do
  :: tries < MAX_TRIES && head < MAX_REVISION ->
     nonce = NONCE(id, tries);
     tries++;
     /* Reads the head that the edit is based on. */
     base = head;
     /* The transaction reaches the store at any later moment, or never. */
     is_written = false;
     if
     :: atomic {
          head == base && base < MAX_REVISION ->
          head = base + 1;
          history[head] = nonce;
          is_written = true
        }
     :: atomic { head != base -> skip }
     :: skip /* The store is down. */
     fi;
     if
     :: /* The answer arrives. */
        found = is_written
     :: /* The answer is lost: reads back the head and the history. */
        atomic {
          found = false;
          i = 1;
          do
          :: i <= head ->
             if
             :: history[i] == nonce -> found = true
             :: else
             fi;
             i++
          :: else -> break
          od
        }
     fi;
     /* What the publisher is told is true. */
     assert(found == is_written);
     if
     :: found -> atomic { assert(history[base + 1] == nonce); Announce(base + 1) }
     :: else
     fi;
     /* Dead values would only multiply the states. */
     atomic { base = 0; nonce = 0; found = false; is_written = false; i = 0 }
  :: break
  od
}

proctype Node(byte id) {
  byte r = 0;
  byte before = 0;
  do
  :: /* Receives an announcement, in any order and any number of times. */
     atomic {
       if
       :: announced[1] -> r = 1
       :: announced[2] -> r = 2
       :: announced[3] -> r = 3
       :: announced[4] -> r = 4
       fi;
       before = applied[id];
#ifdef BROKEN
       applied[id] = r;
#else
       if
       :: r > applied[id] -> applied[id] = r
       :: else
       fi;
#endif
       assert(applied[id] >= before);
       assert(applied[id] <= head);
       r = 0;
       before = 0
     }
  :: /* Reads the head from the store. */
     atomic {
       before = applied[id];
       if
       :: head > applied[id] -> applied[id] = head
       :: else
       fi;
       assert(applied[id] >= before);
       before = 0
     }
  od
}

init {
  atomic {
    byte i = 0;
    do
    :: i < PUBLISHERS -> run Publisher(i); i++
    :: else -> break
    od;
    i = 0;
    do
    :: i < NODES -> run Node(i); i++
    :: else -> break
    od
  }
}
