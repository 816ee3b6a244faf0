/* The end of a kept connection in a planned stop, as core/planned_stop.cc and
 * net/stream/http_server.cc do it.
 *
 * A client sends requests one after the other on one connection. The daemon reads them, hands them
 * to a server, and writes answers that leave in a later turn of its loop. At an idle moment it
 * closes: it reads what has arrived, and if that is nothing it says farewell, which also answers a
 * request that is under way, and reads nothing more. It ends when all that it wrote has left.
 *
 * Checked: a request that was handed on is answered, and a request that was answered by the
 * farewell is never handed on.
 *
 * With -DEND_WHEN_IDLE the daemon ends at an idle moment: Spin must find a violation.
 * With -DDEAF_CLOSE it says farewell without reading what has arrived and goes on reading: Spin must
 * find a violation.
 */
#define REQUESTS 3
#define FAREWELL 255

chan wire = [REQUESTS] of { byte };       /* To the daemon, arrived and not read. */
chan output = [REQUESTS + 1] of { byte }; /* Written by the daemon, not sent yet. */
chan back = [REQUESTS + 1] of { byte };   /* On its way to the client. */

bit handed_on[REQUESTS];
bit told_not_run[REQUESTS];
byte under_way;
bit closed;
bit ended;

active proctype Daemon() {
  byte request;
  byte bytes;
  do
  :: atomic {
#ifdef DEAF_CLOSE
       wire?request ->
#else
       !closed && wire?[request] -> wire?request;
#endif
       assert(!told_not_run[request]);
       handed_on[request] = 1;
       under_way++
     }
  :: under_way > 0 -> output!request; under_way--
  :: output?bytes -> back!bytes
#ifdef END_WHEN_IDLE
  :: under_way == 0 -> break
#endif
  :: atomic {
#ifdef DEAF_CLOSE
       !closed && under_way == 0 ->
#else
       !closed && under_way == 0 && empty(wire) ->
#endif
       closed = 1;
       output!FAREWELL
     }
  :: closed && under_way == 0 && empty(output) -> break
#ifndef DEAF_CLOSE
  :: closed && nempty(wire) -> wire?request /* Thrown away. */
#endif
  od;
  ended = 1
}

active proctype Client() {
  byte next;
  byte bytes;
  bit waiting;
  bit farewell;
  do
  :: !waiting && !farewell && next < REQUESTS -> wire!next; waiting = 1
  :: back?bytes ->
       if
       :: bytes == FAREWELL ->
            farewell = 1;
            if
            :: waiting ->
                 told_not_run[next] = 1;
                 assert(!handed_on[next]);
                 waiting = 0
            :: else
            fi
       :: else ->
            assert(bytes == next);
            waiting = 0;
            next++
       fi
  :: ended && empty(back) ->
       assert(!waiting || !handed_on[next]);
       break
  od
}
