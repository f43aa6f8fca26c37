import type { IncomingMessage, Server, ServerResponse } from "node:http";
import { z } from "zod";
import {
    closeServer,
    createLongLivedServer,
    listenOnLoopback,
    parseJson,
    readRequestBody,
    sendJson,
} from "./httpSupport.js";
import { instanceChangeSchema, LaggingList } from "./laggingList.js";
import { ReplyLoss, replyLossSchema } from "./replyLoss.js";
import { TableState, transactionSchema } from "./tableState.js";

/** `unavailable` answers 503, `hang` never answers, `reset` closes the connection; none executes the operation. */
const outageSchema = z.enum(["off", "unavailable", "hang", "reset"]);
const partControlSchema = z.strictObject({
    outage: outageSchema.optional(),
    /** Half of the latency precedes the operation, the other half follows it. */
    latencyMs: z.number().min(0).optional(),
});

/** Body of `POST /control`. Omitted fields keep their values. */
export const platformControlSchema = z.strictObject({
    table: partControlSchema.extend({ loseReplies: replyLossSchema.optional() }).optional(),
    objects: partControlSchema.optional(),
    instances: partControlSchema.extend({ lagMs: z.number().min(0).optional() }).optional(),
});
export type PlatformControl = z.infer<typeof platformControlSchema>;

/** Answer of `GET /statistics`: operations received outside outages, and the number of stored items. */
export const platformStatisticsSchema = z.object({
    table: z.object({
        reads: z.number(),
        writes: z.number(),
        conflicts: z.number(),
        lostReplies: z.number(),
        rows: z.number(),
        revision: z.number(),
    }),
    objects: z.object({ reads: z.number(), writes: z.number(), objects: z.number() }),
    instances: z.object({ reads: z.number(), listed: z.number() }),
});
export type PlatformStatistics = z.infer<typeof platformStatisticsSchema>;

type PartName = "table" | "objects" | "instances";
interface Part {
    outage: z.infer<typeof outageSchema>;
    latencyMs: number;
    reads: number;
    writes: number;
}

/** Sends the answer; `undefined` if the reply is lost. */
type Reply = ((response: ServerResponse) => void) | undefined;

const newPart = (): Part => ({ outage: "off", latencyMs: 0, reads: 0, writes: 0 });
const pause = (delayMs: number) => new Promise<void>(resolve => setTimeout(resolve, delayMs));
const json =
    (status: number, body: unknown): Reply =>
    response =>
        sendJson(response, status, body);

/**
 * Stand-in for the platform: table service, object store and instance list of `docs/protocols.md` behind one address.
 *
 * @example
 * const platform = new PlatformStandIn();
 * const address = await platform.listen();
 */
export class PlatformStandIn {
    private readonly parts: Record<PartName, Part> = { table: newPart(), objects: newPart(), instances: newPart() };
    private readonly table = new TableState();
    private readonly objects = new Map<string, Buffer>();
    private readonly list = new LaggingList(() => performance.now());
    private readonly replyLoss = new ReplyLoss();
    private conflicts = 0;
    private readonly server: Server;

    constructor() {
        this.server = createLongLivedServer((request, response) => void this.handle(request, response));
    }

    /** Starts listening and returns `host:port`. */
    listen(): Promise<string> {
        return listenOnLoopback(this.server);
    }

    dispose(): Promise<void> {
        return closeServer(this.server);
    }

    /** Changes the injected faults; called by `POST /control`. */
    control(control: PlatformControl): void {
        for (const name of ["table", "objects", "instances"] as const) {
            this.parts[name].outage = control[name]?.outage ?? this.parts[name].outage;
            this.parts[name].latencyMs = control[name]?.latencyMs ?? this.parts[name].latencyMs;
        }
        if (control.table?.loseReplies !== undefined) {
            this.replyLoss.set(control.table.loseReplies);
        }
        this.list.lagMs = control.instances?.lagMs ?? this.list.lagMs;
    }

    statistics(): PlatformStatistics {
        const { table, objects, instances } = this.parts;
        return {
            table: {
                reads: table.reads,
                writes: table.writes,
                conflicts: this.conflicts,
                lostReplies: this.replyLoss.lost,
                rows: this.table.liveRows(),
                revision: this.table.revision,
            },
            objects: { reads: objects.reads, writes: objects.writes, objects: this.objects.size },
            instances: { reads: instances.reads, listed: this.list.shown().length },
        };
    }

    private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const body = await readRequestBody(request);
        if (body === undefined) {
            return;
        }
        const url = new URL(request.url ?? "/", "http://platform");
        const route = `${request.method} ${url.pathname}`;
        if (route === "POST /control") {
            const control = platformControlSchema.safeParse(parseJson(body.toString()));
            if (control.success) {
                this.control(control.data);
            }
            sendJson(response, control.success ? 200 : 400, control.success ? {} : { error: control.error.message });
        } else if (route === "POST /instances") {
            const change = instanceChangeSchema.safeParse(parseJson(body.toString()));
            sendJson(response, change.success && this.list.change(change.data) ? 200 : 400, {});
        } else if (route === "GET /statistics") {
            sendJson(response, 200, this.statistics());
        } else if (url.pathname.startsWith("/table/")) {
            await this.operate("table", response, () => this.operateTable(route, url, body));
        } else if (url.pathname.startsWith("/objects/")) {
            await this.operate("objects", response, () => this.operateObjects(request.method ?? "", url, body));
        } else if (route === "GET /instances") {
            await this.operate("instances", response, () => {
                this.parts.instances.reads++;
                return json(200, { instances: this.list.shown() });
            });
        } else {
            sendJson(response, 404, {});
        }
    }

    /** Runs an operation with the faults of its part. It is executed even if the client has disconnected by then. */
    private async operate(name: PartName, response: ServerResponse, operation: () => Reply): Promise<void> {
        const part = this.parts[name];
        const half = part.latencyMs / 2;
        if (half > 0) {
            await pause(half);
        }
        if (part.outage === "unavailable") {
            // Not JSON, like the error pages of a load balancer.
            response.writeHead(503, { "content-type": "text/plain" }).end("unavailable");
        } else if (part.outage === "reset") {
            response.socket?.resetAndDestroy();
        } else if (part.outage === "off") {
            const reply = operation();
            if (half > 0) {
                await pause(half);
            }
            reply?.(response);
        }
    }

    private operateTable(route: string, url: URL, body: Buffer): Reply {
        if (route === "POST /table/transactions") {
            const transaction = transactionSchema.safeParse(parseJson(body.toString()));
            if (!transaction.success) {
                return json(400, { error: transaction.error.message });
            }
            this.parts.table.writes++;
            const result = this.table.transact(transaction.data);
            if (result.type === "conflict") {
                this.conflicts++;
                return json(409, { conflicts: result.conflicts });
            }
            const reply = json(200, { revision: result.revision, rows: result.rows });
            return this.replyLoss.losesNext() ? undefined : reply;
        }
        const { revision } = this.table;
        const query = url.searchParams;
        this.parts.table.reads++;
        if (route === "GET /table/changes") {
            const rows = this.table.changes(Number(query.get("since") ?? 0), query.getAll("prefix"));
            return json(200, { revision, rows });
        }
        if (route === "GET /table/rows" && query.has("prefix")) {
            const limit = Math.max(1, Number(query.get("limit") ?? 1_000));
            const page = this.table.scan(query.get("prefix") ?? "", query.get("after") ?? "", limit);
            return json(200, { revision, ...page });
        }
        return route === "GET /table/rows"
            ? json(200, { revision, rows: this.table.read(query.getAll("key")) })
            : json(404, {});
    }

    private operateObjects(method: string, url: URL, body: Buffer): Reply {
        const name = decodeURIComponent(url.pathname.slice("/objects/".length));
        const stored = this.objects.get(name);
        if (method === "PUT") {
            this.parts.objects.writes++;
            this.objects.set(name, body);
            return json(stored === undefined ? 201 : 200, {});
        }
        this.parts.objects.reads++;
        if (stored === undefined) {
            return json(404, {});
        }
        return response => {
            response.writeHead(200, { "content-length": stored.byteLength });
            response.end(stored);
        };
    }
}
