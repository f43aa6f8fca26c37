/** One send of a request for a key; times are in milliseconds of the same clock. */
export interface KeySend {
    /** Service and key. */
    key: string;
    sentAt: number;
    endedAt: number;
    /** Whether it got a complete answer. */
    isAnswered: boolean;
}

/**
 * Maximum time, in milliseconds, from the send of a request for a key to the next complete answer to any request for
 * that key. It includes requests that waited as well as failed ones. Without a later answer, it ends with the
 * key's last send.
 *
 * @example
 * longestUnavailability(sends); // { key: "stock/tray-30", durationMs: 912.4 }
 */
export const longestUnavailability = (sends: readonly KeySend[]): { key: string | undefined; durationMs: number } => {
    const byKey = new Map<string, KeySend[]>();
    for (const send of sends) {
        byKey.set(send.key, [...(byKey.get(send.key) ?? []), send]);
    }
    let longest: { key: string | undefined; durationMs: number } = { key: undefined, durationMs: 0 };
    for (const [key, group] of byKey) {
        const lastEnd = Math.max(...group.map(({ endedAt }) => endedAt));
        const answers = group.filter(({ isAnswered }) => isAnswered).map(({ endedAt }) => endedAt);
        answers.sort((a, b) => a - b);
        let next = 0;
        for (const { sentAt } of group.sort((a, b) => a.sentAt - b.sentAt)) {
            while (next < answers.length && answers[next] < sentAt) {
                next++;
            }
            const durationMs = (answers[next] ?? lastEnd) - sentAt;
            if (durationMs > longest.durationMs) {
                longest = { key, durationMs };
            }
        }
    }
    return longest;
};
