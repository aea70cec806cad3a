/* At-most-once execution of one key: two origins claim it through two homes
 * that both serve the bucket. Writes take effect late or never, answers are
 * lost, homes crash, and any process pauses between any two steps. See
 * README.md for the code behind each transition. */

#define CLAIMS 2
#define HOMES 2
#define MAX_LOG 4

/* Log items: claim c is c, its void is CLAIMS + c. */
#define VOID(c) (CLAIMS + (c))
#define NONE 7

/* The bucket's segments; segment i can be created only while length is i. */
byte log[MAX_LOG];
byte length = 0;

/* What each home was asked to append, as a bit for each item. */
byte asked[HOMES];

/* The open write of each home. It can take effect at any moment while open,
 * even after the home was told that its outcome is unknown. */
bool write_open[HOMES];
byte write_at[HOMES];
byte write_item[HOMES];

/* Grants on their way to the origin. */
bool granted[CLAIMS];

/* What each origin did and said. */
bool sent[CLAIMS];
bool said_not_run[CLAIMS];
byte sends = 0;

#define BIT(i) (1 << (i))

/* The claim that holds the key after the first `n` segments. */
inline Replay(n, holder, voided) {
  holder = NONE;
  voided = 0;
  i = 0;
  do
  :: i < n && log[i] < CLAIMS ->
     if
     :: holder == NONE && !(voided & BIT(log[i])) -> holder = log[i]
     :: else
     fi;
     i++
  :: i < n && log[i] >= CLAIMS ->
     voided = voided | BIT(log[i] - CLAIMS);
     if
     :: holder == log[i] - CLAIMS -> holder = NONE
     :: else
     fi;
     i++
  :: i >= n -> break
  od;
  i = 0
}

/* The store applies the open write of a home, or drops it because its place is
 * taken. The broken variant writes without the comparison. */
proctype Store() {
  do
  :: atomic {
       write_open[0] && length < MAX_LOG ->
       if
       :: length == write_at[0] ->
          log[length] = write_item[0];
          length++
#ifdef BROKEN
       :: length > write_at[0] -> log[write_at[0]] = write_item[0]
#endif
       :: else
       fi;
       write_open[0] = false;
       write_at[0] = 0;
       write_item[0] = 0
     }
  :: atomic {
       write_open[1] && length < MAX_LOG ->
       if
       :: length == write_at[1] ->
          log[length] = write_item[1];
          length++
#ifdef BROKEN
       :: length > write_at[1] -> log[write_at[1]] = write_item[1]
#endif
       :: else
       fi;
       write_open[1] = false;
       write_at[1] = 0;
       write_item[1] = 0
     }
  :: length == MAX_LOG -> break
  od
}

proctype Home(byte id) {
  /* Segments read so far; every decision follows from them alone. */
  byte seen = 0;
  byte holder = NONE;
  byte voided = 0;
  byte item = NONE;
  byte i = 0;
  /* One crash of one home, which is enough by symmetry of the homes. */
  bool has_crashed = (id == 1);

  do
  :: /* Reads the log's tail; also reads back a write in doubt. */
     atomic {
       seen < length ->
       seen = length;
       Replay(seen, holder, voided)
     }
  :: /* Writes one undecided entry at the next sequence number. A write whose
      * outcome is unknown stays open and is not replaced by another. */
     atomic {
       !write_open[id] && seen < MAX_LOG && asked[id] != 0 ->
       item = NONE;
       if
       :: (asked[id] & BIT(0)) && holder == NONE && !(voided & BIT(0)) -> item = 0
       :: (asked[id] & BIT(1)) && holder == NONE && !(voided & BIT(1)) -> item = 1
       :: (asked[id] & BIT(VOID(0))) && !(voided & BIT(0)) -> item = VOID(0)
       :: (asked[id] & BIT(VOID(1))) && !(voided & BIT(1)) -> item = VOID(1)
       :: else
       fi;
       if
       :: item != NONE ->
          write_open[id] = true;
          write_at[id] = seen;
          write_item[id] = item
       :: else
       fi;
       item = NONE
     }
  :: /* Replies to the origin whose claim is the first. */
     atomic {
       holder != NONE && (asked[id] & BIT(holder)) && !granted[holder] ->
       granted[holder] = true
     }
  :: /* Crashes: what was asked and read is lost, an open write is not. */
     atomic { !has_crashed && seen > 0 -> has_crashed = true; asked[id] = 0; seen = 0; holder = NONE; voided = 0 }
  :: atomic { length == MAX_LOG && seen == MAX_LOG -> break }
  od
}

proctype Origin(byte id) {
  /* Asks one home, and the other one when it does not answer. */
  asked[id] = asked[id] | BIT(id);
  do
  :: atomic { !(asked[1 - id] & BIT(id)) -> asked[1 - id] = asked[1 - id] | BIT(id) }
  :: granted[id] ->
     if
     :: /* Sends; a pause may lie between the grant and this step. */
        atomic {
          sent[id] = true;
          sends++;
          assert(sends <= 1);
          assert(!said_not_run[id])
        };
        goto done
     :: /* Granted, and will never send: voids. */
        break
     fi
  :: /* The deadline passes without a grant: refuses and voids. */
     break
  od;
  atomic {
    said_not_run[id] = true;
    assert(!sent[id])
  };
  if
  :: asked[0] = asked[0] | BIT(VOID(id))
  :: asked[1] = asked[1] | BIT(VOID(id))
  :: skip /* The origin dies. */
  fi;
done:
  skip
}

init {
  atomic {
    run Store();
    run Home(0);
    run Home(1);
    run Origin(0);
    run Origin(1)
  }
}
