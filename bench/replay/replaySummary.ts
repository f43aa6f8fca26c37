import type { ReplayLoad } from "./replayLoad.js";

/** A simulated request and its outcome. */
export interface ReplayedRequest {
    kind: ReplayLoad["kinds"][number];
    domain: string;
    arrivedMs: number;
    /** Time from the arrival to the answer; `undefined` if there was none. */
    tookMs?: number;
    refusals: number;
    /** Attempts that reached a full target. */
    turnedAway: number;
    hasFailed: boolean;
}

/** Results from the view of the callers. Shares are relative to the total worth of the requests. */
export interface ReplaySummary {
    asked: number;
    inTime: number;
    late: number;
    /** Requests that were refused at least once and answered after a retry. */
    servedAfterRefusal: number;
    /** Requests that were refused and never answered. */
    refused: number;
    failed: number;
    /** Attempts that reached a full target. */
    turnedAway: number;
    worth: number;
    worstSecond: number;
    worstDomain: number;
    worstKind: number;
    /** Ratio of the lowest to the highest share of a kind. */
    fairness: number;
}

/** Window size of `worstSecond`, in milliseconds. */
const WINDOW_MS = 1_000;

const worthOf = ({ kind, tookMs }: ReplayedRequest): number => {
    if (tookMs === undefined || tookMs > kind.deadlineMs) {
        return 0;
    }
    return kind.worth * (tookMs <= kind.targetLatencyMs ? 1 : kind.lateWorth);
};

const shareOf = (requests: readonly ReplayedRequest[]): number => {
    const asked = requests.reduce((sum, { kind }) => sum + kind.worth, 0);
    return asked === 0 ? 1 : requests.reduce((sum, request) => sum + worthOf(request), 0) / asked;
};

const sharesBy = (requests: readonly ReplayedRequest[], group: (request: ReplayedRequest) => unknown): number[] => {
    const groups = new Map<unknown, ReplayedRequest[]>();
    for (const request of requests) {
        const name = group(request);
        const members = groups.get(name) ?? [];
        members.push(request);
        groups.set(name, members);
    }
    return [...groups.values()].map(shareOf);
};

const rounded = (value: number): number => Math.round(value * 10_000) / 10_000;

/** Summarizes the outcomes of requests. */
export const summarize = (requests: readonly ReplayedRequest[]): ReplaySummary => {
    const isServed = ({ kind, tookMs }: ReplayedRequest) => tookMs !== undefined && tookMs <= kind.deadlineMs;
    const served = requests.filter(isServed);
    const inTime = served.filter(({ kind, tookMs }) => (tookMs ?? Infinity) <= kind.targetLatencyMs).length;
    const refused = requests.filter(request => request.tookMs === undefined && !request.hasFailed).length;
    const kinds = sharesBy(requests, ({ kind }) => kind.name);
    return {
        asked: requests.length,
        inTime,
        late: served.length - inTime,
        servedAfterRefusal: served.filter(({ refusals }) => refusals > 0).length,
        refused,
        failed: requests.length - served.length - refused,
        turnedAway: requests.reduce((sum, { turnedAway }) => sum + turnedAway, 0),
        worth: rounded(shareOf(requests)),
        worstSecond: rounded(Math.min(...sharesBy(requests, ({ arrivedMs }) => Math.floor(arrivedMs / WINDOW_MS)))),
        worstDomain: rounded(Math.min(...sharesBy(requests, ({ domain }) => domain))),
        worstKind: rounded(Math.min(...kinds)),
        fairness: rounded(Math.min(...kinds) / Math.max(...kinds)),
    };
};
