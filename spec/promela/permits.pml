/* What all boxes send to one cold endpoint within a second.
 *
 * In a fleet that hears itself whole one box chooses for all. A cut may part the fleet at any moment of the second, and from
 * then on each part has a box that chooses for it. Another box may begin to choose in a part at any moment, after a stop or
 * by another view of the fleet; it knows nothing of what was given out before. Few boxes send alone, without asking. All
 * boxes have more requests than the endpoint bears at any moment.
 *
 * Property: no more requests are sent within the second than the endpoint bears.
 */
#define BEARABLE 18      /* requests in a second that the endpoint bears */
#define PARTS 3          /* failure domains */
#define HANDOVERS 1      /* boxes that begin to choose anew within a second */
#define ALONE 4          /* requests of the boxes that send alone */

#if defined(BROKEN_NO_PART_FOR_HANDOVER)
#define SHARE ((BEARABLE - ALONE) / PARTS)
#elif defined(BROKEN_NOTHING_KEPT_FOR_ALONE)
#define SHARE (BEARABLE / (PARTS + HANDOVERS))
#else
#define SHARE ((BEARABLE - ALONE) / (PARTS + HANDOVERS))
#endif
#define CUT_SHARE 2      /* of a part, where the one box that hears all had most */
#define WHOLE_SHARE (BEARABLE - ALONE - (PARTS - 1) * CUT_SHARE)

byte given[PARTS];
byte handovers = 0;
byte alone = 0;
byte sent = 0;
bool cut = false;

inline share_of(part, most) {
#ifdef BROKEN_MOST_FOR_THE_ONE_THAT_HEARS_ALL
  most = (cut -> CUT_SHARE : WHOLE_SHARE)
#else
  most = SHARE
#endif
}

/* Part 0 holds the box that chooses for all until the cut. */
active [PARTS] proctype chooser() {
  byte most;
end:
  do
  :: atomic { (_pid == 0 || cut) ->
       share_of(_pid, most);
       if
       :: given[_pid] < most -> given[_pid]++; sent++; assert(sent <= BEARABLE)
       :: else
       fi
     }
  :: atomic { handovers < HANDOVERS -> handovers++; given[_pid] = 0 }
  od
}

active proctype boxes_alone() {
end:
  do
  :: atomic { alone < ALONE -> alone++; sent++; assert(sent <= BEARABLE) }
  od
}

active proctype network() {
  cut = true
}
