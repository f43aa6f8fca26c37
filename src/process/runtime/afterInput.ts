import type { TimerCancellation } from "./clock.js";

/**
 * Runs `callback` after the input that has already arrived was handled. After a stall of the process, Node.js runs overdue
 * timers before it reads from sockets; a timer that concludes something from missing input has to read it first.
 *
 * @example
 * clock.setTimer(250, () => afterInput(() => giveUpIfUnanswered()));
 */
export const afterInput = (callback: () => void): TimerCancellation => {
    const immediate = setImmediate(callback);
    return () => clearImmediate(immediate);
};
