import { err, ok, type Result } from "neverthrow";
import { Pool } from "undici";
import type { PlatformError } from "./platformError.js";
import { MAX_PLATFORM_RESPONSE_BYTES } from "./platformResponse.js";

/** Timeout of a request to the object store, in milliseconds. */
export const DEFAULT_OBJECT_TIMEOUT_MS = 3_000;

/**
 * Client of the platform's object store. Objects are named by the digest of their content, so repeating a write is
 * safe.
 *
 * @example
 * await new PlatformObjects({ url: "http://127.0.0.1:7000" }).get(digest);
 */
export class PlatformObjects {
    private readonly pool: Pool;
    private readonly timeoutMs: number;

    constructor(options: { url: string; timeoutMs?: number }) {
        this.pool = new Pool(options.url, { connections: 2, maxResponseSize: MAX_PLATFORM_RESPONSE_BYTES });
        this.timeoutMs = options.timeoutMs ?? DEFAULT_OBJECT_TIMEOUT_MS;
    }

    async dispose(): Promise<void> {
        await this.pool.destroy();
    }

    /** Reads the content of an object; `undefined` if it doesn't exist. */
    async get(name: string): Promise<Result<Buffer | undefined, PlatformError>> {
        return this.send("GET", name, undefined).then(answer =>
            answer.andThen(({ status, body }) => {
                if (status === 404) {
                    return ok(undefined);
                }
                return status === 200
                    ? ok(body)
                    : err({ type: "platform-unavailable" as const, detail: `The object store answered ${status}.` });
            }),
        );
    }

    async put(name: string, content: Buffer): Promise<Result<void, PlatformError>> {
        return this.send("PUT", name, content).then(answer =>
            answer.andThen(({ status }) =>
                status === 200 || status === 201
                    ? ok(undefined)
                    : err({ type: "platform-unavailable" as const, detail: `The object store answered ${status}.` }),
            ),
        );
    }

    private async send(
        method: "GET" | "PUT",
        name: string,
        body: Buffer | undefined,
    ): Promise<Result<{ status: number; body: Buffer }, PlatformError>> {
        try {
            const response = await this.pool.request({
                method,
                path: `/objects/${encodeURIComponent(name)}`,
                body,
                signal: AbortSignal.timeout(this.timeoutMs),
            });
            return ok({ status: response.statusCode, body: Buffer.from(await response.body.arrayBuffer()) });
        } catch (error) {
            const detail = error instanceof Error ? error.message : "The object store gave no answer.";
            return err({ type: "platform-unavailable", detail });
        }
    }
}
