/** A request that a caller of the demo makes. */
export interface DemoRequest {
    service: string;
    method: "GET" | "HEAD" | "POST" | "PUT" | "PATCH" | "DELETE";
    /** Path with query. */
    path: string;
    key: string | undefined;
    body: string | undefined;
    idempotent: boolean;
    /** Whether it is long work, whose latencies are reported separately. */
    long: boolean;
    /** Deadline for the request including all its sends, in milliseconds. */
    deadlineMs: number;
}
