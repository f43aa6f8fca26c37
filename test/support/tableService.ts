import { createServer, type IncomingMessage, type Server, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { StoredRow } from "../../src/process/gateway/rowStore.js";
import { MemoryRowStore } from "./memoryRowStore.js";

interface WireRow {
    table: string;
    key: string;
    /** Version; 0 for a row that doesn't exist. */
    ver: number;
}

const readBody = async (request: IncomingMessage): Promise<string> => {
    const chunks: Buffer[] = [];
    for await (const chunk of request as AsyncIterable<Buffer>) {
        chunks.push(chunk);
    }
    return Buffer.concat(chunks).toString();
};

/** The platform's table service over HTTP, for gateways that run as processes. Its rows are in memory. */
export class TableService {
    readonly rows = new MemoryRowStore();
    private readonly server: Server = createServer((request, response) => {
        this.handle(request, response).catch((error: unknown) => response.destroy(error as Error));
    });
    port = 0;

    async start(): Promise<void> {
        await new Promise<void>(resolve => this.server.listen(0, "127.0.0.1", resolve));
        this.port = (this.server.address() as AddressInfo).port;
    }

    dispose(): void {
        this.server.close();
        this.server.closeAllConnections();
    }

    private async handle(request: IncomingMessage, response: ServerResponse): Promise<void> {
        const { pathname, searchParams } = new URL(request.url ?? "", "http://localhost");
        const body = await readBody(request);
        const table = searchParams.get("table") ?? "";
        switch (pathname) {
            case "/rows-get": {
                const snapshot = (await this.rows.snapshot(table))._unsafeUnwrap();
                const from = searchParams.get("from") ?? "";
                const limit = Number(searchParams.get("limit") ?? 500);
                const rows = snapshot.rows.filter(({ key }) => key >= from).sort((a, b) => (a.key < b.key ? -1 : 1));
                this.reply(response, 200, { rows: rows.slice(0, limit).map(toWire), more_pages: rows.length > limit });
                return;
            }
            case "/rows-feed": {
                const waitMs = Number(searchParams.get("wait_ms"));
                const ended = new AbortController();
                response.once("close", () => ended.abort());
                const changes = await this.rows.changes(table, Number(searchParams.get("after")), waitMs, ended.signal);
                if (changes.isErr()) {
                    response.destroy();
                } else if (changes.value.type === "history-lost") {
                    this.reply(response, 410, {});
                } else {
                    this.reply(response, 200, { rows: changes.value.rows.map(toWire) });
                }
                return;
            }
            case "/rows-tx": {
                const { expected, puts } = JSON.parse(body) as {
                    expected: WireRow[];
                    puts: (WireRow & { value: string })[];
                };
                const outcome = await this.rows.transact({
                    expected: expected.map(({ ver, ...row }) => ({ ...row, version: ver })),
                    puts: puts.map(row => ({ ...row, value: Buffer.from(row.value, "base64") })),
                });
                this.reply(response, outcome._unsafeUnwrap().type === "committed" ? 200 : 412, { rows: [] });
                return;
            }
            default:
                this.reply(response, 404, {});
        }
    }

    private reply(response: ServerResponse, status: number, content: object): void {
        const versions = { ver: this.rows.latestVersion, now_ms: Math.round(performance.now()) };
        response.writeHead(status, { "content-type": "application/json" });
        response.end(JSON.stringify({ ...content, ...versions }));
    }
}

const toWire = ({ key, value, version }: StoredRow): object => ({
    key,
    ver: version,
    ...(value === undefined ? { deleted: true } : { value: value.toString("base64") }),
});
