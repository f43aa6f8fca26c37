import { err, ok, type Result } from "neverthrow";
import { Pool } from "undici";
import { z } from "zod";
import type { PlatformError } from "./platformError.js";
import { MAX_PLATFORM_RESPONSE_BYTES } from "./platformResponse.js";

/** Timeout of a request for the instance list, in milliseconds. */
export const DEFAULT_INSTANCE_LIST_TIMEOUT_MS = 1_000;

const listedInstanceSchema = z.object({
    name: z.string(),
    role: z.enum(["entry", "target"]),
    service: z.string().optional(),
    domain: z.string(),
    /** `host:port`. */
    address: z.string(),
    state: z.enum(["live", "leaving"]),
});
/** An instance in the platform's list, which may be outdated. */
export type ListedInstance = z.infer<typeof listedInstanceSchema>;

const answerSchema = z.object({ instances: z.array(listedInstanceSchema) });

/**
 * Client of the platform's list of instances.
 *
 * @example
 * const listed = await new InstanceList({ url: "http://127.0.0.1:7000" }).read();
 */
export class InstanceList {
    private readonly pool: Pool;
    private readonly timeoutMs: number;

    constructor(options: { url: string; timeoutMs?: number }) {
        this.pool = new Pool(options.url, { connections: 1, maxResponseSize: MAX_PLATFORM_RESPONSE_BYTES });
        this.timeoutMs = options.timeoutMs ?? DEFAULT_INSTANCE_LIST_TIMEOUT_MS;
    }

    async dispose(): Promise<void> {
        await this.pool.destroy();
    }

    async read(): Promise<Result<ListedInstance[], PlatformError>> {
        try {
            const response = await this.pool.request({
                method: "GET",
                path: "/instances",
                signal: AbortSignal.timeout(this.timeoutMs),
            });
            const parsed = answerSchema.safeParse(await response.body.json());
            return parsed.success
                ? ok(parsed.data.instances)
                : err({ type: "platform-protocol", detail: parsed.error.message });
        } catch (error) {
            const detail = error instanceof Error ? error.message : "The instance list gave no answer.";
            return err({ type: "platform-unavailable", detail });
        }
    }
}
