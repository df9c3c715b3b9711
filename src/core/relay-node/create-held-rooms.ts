import type { Clock } from '../clock';
import { createBodyRoom, shareMemory } from '../held-bytes';
import type { Metrics } from '../metrics';
import { createAnswerRoom } from '../pass-through';

/** Options of {@link createHeldRooms}. */
export interface HeldRoomsOptions {
  readonly clock: Clock;
  readonly metrics: Pick<Metrics, 'gauge'>;
  /** Memory that the process may use, bytes. */
  readonly memoryBytes: number;
}

/** Creates the room for request bodies and that for answers, each a share of the memory of the process. */
export function createHeldRooms({ clock, metrics, memoryBytes }: HeldRoomsOptions) {
  const { bodyBytes, answerBytes } = shareMemory(memoryBytes);
  const bodies = createBodyRoom({ clock, totalBytes: bodyBytes });
  metrics.gauge(
    'coltsfootworks_held_body_bytes',
    'Bytes of request bodies that are held or about to be read',
    bodies.heldBytes,
  );
  const room = createAnswerRoom(answerBytes);
  metrics.gauge(
    'coltsfootworks_held_answer_bytes',
    'Bytes of answers that are held until more of them has arrived',
    room.heldBytes,
  );
  return { bodies, room };
}
