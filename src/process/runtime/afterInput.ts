import type { TimerCancellation } from "./clock.js";

/**
 * Runs `callback` after the input that has already arrived was handled. After a stall of the process, Node.js runs overdue
 * timers before it reads from sockets, and it reads the last bytes of a connection and its end in different iterations of the
 * event loop. Two iterations therefore have to pass.
 *
 * @example
 * clock.setTimer(250, () => afterInput(() => giveUpIfUnanswered()));
 */
export const afterInput = (callback: () => void): TimerCancellation => {
    let immediate = setImmediate(() => {
        immediate = setImmediate(callback);
    });
    return () => clearImmediate(immediate);
};
