import type { ClientAnswer } from './types';

/**
 * Returns an answer that calls `onPassingOn` before each part that is passed on to the caller. Several attempts may be in
 * progress for one answer; the first one that has something for the caller ends the others.
 */
export function announceAnswer(answer: ClientAnswer, onPassingOn: () => void): ClientAnswer {
  return {
    get headSent() {
      return answer.headSent;
    },
    recordAttempts: answer.recordAttempts,
    recordStreamVersion: answer.recordStreamVersion,
    sendHead(status, headers) {
      onPassingOn();
      answer.sendHead(status, headers);
    },
    sendData(chunk) {
      onPassingOn();
      return answer.sendData(chunk);
    },
    end() {
      onPassingOn();
      answer.end();
    },
    closeIncomplete: answer.closeIncomplete,
    refuse: answer.refuse,
    onDrain: answer.onDrain,
  };
}
