// Stand-in for the platform's store ("The platform's metadata store"): rows, transactions, feeds and Store-Era.
import { createServer } from "node:http";

export class Store {
    /** @type {Map<string, Map<string, {key: string, value: string | undefined, ver: number}>>} */
    tables = new Map();
    ver = 0;
    era = 0;
    /** `down`: 503; `silent`: no answer; `reset`: connections are reset. */
    fault = undefined;
    /** Called with each transaction that was applied. */
    onCommit = () => undefined;
    txMs = 5;
    /** Share of the writes that get no answer; with `lateMs` they are done that much later, if their condition still holds. */
    lostShare = 0;
    lateMs = 0;
    /** Largest size of a value, `row_bytes`, and the number of writes that were refused because of it. */
    rowBytes = 65_536;
    tooLarge = 0;
    waiters = new Set();

    constructor() {
        this.server = createServer((request, response) => this.handle(request, response));
        this.server.keepAliveTimeout = 60_000;
    }

    listen() {
        return new Promise(resolve =>
            this.server.listen(0, "127.0.0.1", () => {
                this.address = `127.0.0.1:${this.server.address().port}`;
                resolve();
            }),
        );
    }

    table(name) {
        if (!this.tables.has(name)) {
            this.tables.set(name, new Map());
        }
        return this.tables.get(name);
    }

    /** Writes a row as the operator or an upstream; `undefined` removes it. */
    put(table, key, value) {
        this.ver++;
        const encoded = value === undefined ? undefined : Buffer.from(JSON.stringify(value)).toString("base64");
        this.table(table).set(key, { key, value: encoded, ver: this.ver });
        this.wake();
    }

    read(table, key) {
        const value = this.table(table).get(key)?.value;
        return value === undefined ? undefined : JSON.parse(Buffer.from(value, "base64").toString());
    }

    /** Size of a row's value in bytes. */
    size(table, key) {
        return Buffer.byteLength(this.table(table).get(key)?.value ?? "", "base64");
    }

    wake() {
        [...this.waiters].forEach(waiter => waiter());
    }

    copy() {
        return { ver: this.ver, tables: new Map([...this.tables].map(([name, rows]) => [name, new Map(rows)])) };
    }

    /** Comes back from a copy; versions are given out again. */
    restore(copy) {
        this.tables = new Map([...copy.tables].map(([name, rows]) => [name, new Map(rows)]));
        this.ver = copy.ver;
        this.era++;
        this.wake();
    }

    dispose() {
        this.server.close();
        this.server.closeAllConnections();
    }

    async handle(request, response) {
        try {
            const chunks = [];
            for await (const chunk of request) {
                chunks.push(chunk);
            }
            const body = Buffer.concat(chunks).toString();
            if (this.fault === "reset") {
                request.socket.resetAndDestroy();
                return;
            }
            if (this.fault === "silent") {
                return;
            }
            if (this.fault === "down") {
                this.reply(response, 503, {});
                return;
            }
            const url = new URL(request.url, "http://store");
            const query = url.searchParams;
            switch (url.pathname) {
                case "/rows-get": {
                    const rows = [...this.table(query.get("table")).values()]
                        .filter(row => row.value !== undefined && row.key >= (query.get("from") ?? ""))
                        .sort((a, b) => (a.key < b.key ? -1 : 1));
                    const limit = Math.min(500, Number(query.get("limit") ?? 500));
                    this.reply(response, 200, {
                        rows: rows.slice(0, limit).map(wire),
                        more_pages: rows.length > limit,
                    });
                    return;
                }
                case "/rows-feed":
                    await this.feed(query, response);
                    return;
                case "/rows-tx":
                    await new Promise(resolve => setTimeout(resolve, this.txMs));
                    this.transact(JSON.parse(body), response);
                    return;
                default:
                    this.reply(response, 404, {});
            }
        } catch {
            response.destroy();
        }
    }

    async feed(query, response) {
        const after = Number(query.get("after"));
        const table = query.get("table");
        const { era } = this;
        const changed = () => [...this.table(table).values()].filter(({ ver }) => ver > after);
        if (after <= this.ver && changed().length === 0) {
            await new Promise(resolve => {
                const end = () => {
                    clearTimeout(timer);
                    this.waiters.delete(look);
                    resolve();
                };
                const look = () => {
                    if (this.era !== era || changed().length > 0) {
                        end();
                    }
                };
                const timer = setTimeout(end, Number(query.get("wait_ms")));
                this.waiters.add(look);
                response.once("close", end);
            });
        }
        if (this.fault === "silent") {
            return;
        }
        if (after > this.ver || this.era !== era) {
            this.reply(response, 410, {});
            return;
        }
        this.reply(response, 200, {
            rows: changed()
                .sort((a, b) => a.ver - b.ver)
                .map(wire),
        });
    }

    transact(transaction, response) {
        if (Math.random() < this.lostShare) {
            const silent = { writeHead: () => undefined, end: () => undefined };
            const delayMs = this.lateMs === 0 ? 0 : this.lateMs * (0.2 + 0.8 * Math.random());
            setTimeout(() => this.apply(transaction, silent), delayMs);
            return;
        }
        this.apply(transaction, response);
    }

    apply({ expected = [], puts = [], delete: deletes = [] }, response) {
        const current = ({ table, key }) => this.table(table).get(key);
        const verOf = row => (row?.value === undefined ? 0 : row.ver);
        if (puts.concat(deletes).some(({ table }) => table === "op" || table === "servers")) {
            this.reply(response, 403, {});
            return;
        }
        if (puts.some(({ value }) => Buffer.byteLength(value, "base64") > this.rowBytes)) {
            this.tooLarge++;
            this.reply(response, 400, {});
            return;
        }
        if (expected.some(row => verOf(current(row)) !== row.ver)) {
            this.reply(response, 412, { rows: expected.map(current).filter(Boolean).map(wire) });
            return;
        }
        this.ver++;
        puts.forEach(({ table, key, value }) => this.table(table).set(key, { key, value, ver: this.ver }));
        deletes.forEach(({ table, key }) => this.table(table).set(key, { key, value: undefined, ver: this.ver }));
        this.onCommit({ puts, deletes, ver: this.ver });
        this.wake();
        this.reply(response, 200, {});
    }

    reply(response, status, content) {
        response.writeHead(status, { "content-type": "application/json", "store-era": String(this.era) });
        response.end(JSON.stringify({ ...content, ver: this.ver, now_ms: Math.round(performance.now()) }));
    }
}

const wire = ({ key, value, ver }) => ({ key, ver, ...(value === undefined ? { deleted: true } : { value }) });
