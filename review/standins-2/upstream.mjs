// Stand-in for an upstream ("Upstreams", "Keys that upstreams hold"). It runs in the process of the script.
import { createServer } from "node:net";
import { randomBytes } from "node:crypto";

const HEAD_END = Buffer.from("\r\n\r\n");

/** All that upstreams have seen, for the checks of a script. */
export class Ledger {
    runs = [];
    holds = [];
    startedAt = performance.now();
    now() {
        return Math.round(performance.now() - this.startedAt);
    }
}

export class Upstream {
    constructor({ id, service, zone, store, ledger, slots = 6, workMs = 60, sharded = false, heartbeatMs = 870 }) {
        Object.assign(this, { id, service, zone, store, ledger, slots, workMs, sharded, heartbeatMs });
        this.born = Date.now();
        this.seq = 0;
        this.state = "ready";
        this.running = 0;
        this.queue = [];
        this.sockets = new Set();
        this.grants = [];
        this.fences = [];
        this.isUp = true;
        /** Answers in the place of this stand-in if it returns `true`. */
        this.script = () => false;
        /** Share of grants that get no answer and are carried out `lateMs` later; their time counts from their arrival. */
        this.lateShare = 0;
        this.lateMs = 0;
        this.server = createServer(socket => this.accept(socket));
    }

    async start(port = 0) {
        await new Promise(resolve => this.server.listen(port, "127.0.0.1", resolve));
        this.address = `127.0.0.1:${this.server.address().port}`;
        this.beat();
        this.timer = setInterval(() => this.beat(), this.heartbeatMs);
    }

    entry() {
        return {
            address: this.address,
            born: this.born,
            info: { service: this.service, zone: this.zone, version: "v1", slots: this.slots },
            status: { state: this.state, seq: this.seq, warmup_left_ms: 0 },
        };
    }

    beat() {
        this.seq++;
        if (this.state !== "gone") {
            this.store.put("servers", this.id, this.entry());
        }
    }

    accept(socket) {
        this.sockets.add(socket);
        socket.setNoDelay(true);
        socket.setMaxListeners(0);
        socket.on("error", () => undefined);
        socket.on("close", () => {
            this.sockets.delete(socket);
            socket.gone = true;
        });
        let buffered = Buffer.alloc(0);
        let busy = false;
        const next = () => {
            if (busy) {
                return;
            }
            const end = buffered.indexOf(HEAD_END);
            if (end < 0) {
                return;
            }
            const [line, ...fields] = buffered.subarray(0, end).toString("latin1").split("\r\n");
            const headers = new Map(
                fields.map(field => {
                    const colon = field.indexOf(":");
                    return [field.slice(0, colon).toLowerCase(), field.slice(colon + 1).trim()];
                }),
            );
            const length = Number(headers.get("content-length") ?? 0);
            if (buffered.length < end + 4 + length) {
                return;
            }
            const body = buffered.subarray(end + 4, end + 4 + length);
            buffered = buffered.subarray(end + 4 + length);
            busy = true;
            const [method, path] = line.split(" ");
            const done = () => {
                busy = false;
                setImmediate(next);
            };
            this.handle({ method, path, headers, body, socket }, done);
        };
        socket.on("data", chunk => {
            buffered = Buffer.concat([buffered, chunk]);
            next();
        });
    }

    send(socket, status, headers, body = "") {
        if (socket.destroyed) {
            return;
        }
        const lines = Object.entries(headers).map(([name, value]) => `${name}: ${value}\r\n`);
        const text = `HTTP/1.1 ${status} X\r\n${lines.join("")}Content-Length: ${Buffer.byteLength(body)}\r\n\r\n${body}`;
        socket.write(Buffer.from(text, "latin1"));
    }

    echo(request) {
        const id = request.headers.get("x-request-id");
        return id === undefined ? {} : { "X-Request-Id": id };
    }

    handle(request, done) {
        if (this.script(request, done) === true) {
            return;
        }
        const { path, headers, socket } = request;
        const expected = headers.get("x-expect-instance");
        if (expected !== undefined && expected !== this.id) {
            this.send(socket, 421, { ...this.echo(request), "X-Instance-Id": this.id });
            done();
        } else if (path === "/grant" && Math.random() < this.lateShare) {
            request.arrivedAt = performance.now();
            setTimeout(() => this.isUp && this.grant(request, done, true), this.lateMs * (0.15 + 0.85 * Math.random()));
        } else if (path === "/grant") {
            this.grant(request, done);
        } else if (path === "/release") {
            this.release(request, done);
        } else if (path === "/healthz") {
            this.send(socket, 200, { "X-Instance-Id": this.id });
            done();
        } else if (this.sharded && !this.holds(Number(headers.get("x-shard-key")))) {
            this.send(socket, 421, { ...this.echo(request), "X-Not-Executed": "1", "X-Instance-Id": this.id });
            done();
        } else if (this.running >= this.slots && this.queue.length >= 4 * this.slots) {
            this.send(socket, 503, { ...this.echo(request), "X-Not-Executed": "1" });
            done();
        } else if (this.running >= this.slots) {
            this.queue.push(() => this.run(request, done));
        } else {
            this.run(request, done);
        }
    }

    run(request, done) {
        const { headers, socket, method, path, body } = request;
        const key = Number(headers.get("x-shard-key"));
        if (socket.gone || !this.isUp) {
            this.next();
            return;
        }
        if (this.sharded && !this.holds(key)) {
            this.send(socket, 421, { ...this.echo(request), "X-Not-Executed": "1", "X-Instance-Id": this.id });
            done();
            this.next();
            return;
        }
        this.running++;
        const run = {
            id: headers.get("x-request-id"),
            at: this.ledger.now(),
            upstream: this.id,
            life: this.born,
            method,
            path,
            body: body.toString("latin1"),
            key,
        };
        this.ledger.runs.push(run);
        const workMs = typeof this.workMs === "function" ? this.workMs(request) : this.workMs;
        const end = () => {
            if (run.ended !== undefined) {
                return;
            }
            run.ended = this.ledger.now();
            this.running--;
            this.working?.delete(run);
            this.next();
        };
        (this.working ??= new Set()).add(run);
        setTimeout(() => {
            if (run.ended === undefined && this.isUp) {
                const signature = `${this.id}.${run.id}`;
                this.send(
                    socket,
                    200,
                    {
                        ...this.echo(request),
                        "X-Upstream-Signature": signature,
                        "X-Upstream-Load": `${this.running - 1},${this.queue.length},${this.slots}`,
                    },
                    `${this.id} ran ${run.id}`,
                );
                end();
                this.released?.();
                done();
            }
        }, workMs);
        socket.once("close", () => {
            end();
            this.released?.();
        });
    }

    next() {
        if (this.running < this.slots) {
            this.queue.shift()?.();
        }
    }

    holds(key) {
        const now = performance.now();
        return this.grants.some(({ from, to, until }) => key >= from && key <= to && until > now);
    }

    grant(request, done, delayed = false) {
        const { from, to, fence, hold_ms: holdMs } = JSON.parse(request.body.toString());
        const arrivedAt = request.arrivedAt ?? performance.now();
        const isSeen = this.fences.some(seen => seen.from <= to && from <= seen.to && seen.fence > fence);
        if (!isSeen) {
            this.grants = this.without(from, to);
            this.grants.push({ from, to, fence, until: arrivedAt + holdMs });
            this.fences.push({ from, to, fence });
            this.fences = this.fences.slice(-4000);
            this.ledger.holds.push({
                at: this.ledger.now(),
                upstream: this.id,
                life: this.born,
                what: "grant",
                from,
                to,
                fence,
                until: Math.round(arrivedAt + holdMs - this.ledger.startedAt),
            });
        }
        if (!delayed) {
            this.send(request.socket, isSeen ? 409 : 200, this.echo(request));
            done();
        }
    }

    without(from, to) {
        return this.grants.flatMap(held =>
            held.to < from || held.from > to
                ? [held]
                : [
                      { ...held, to: from - 1 },
                      { ...held, from: to + 1 },
                  ].filter(part => part.from <= part.to),
        );
    }

    release(request, done) {
        const { from, to, fence } = JSON.parse(request.body.toString());
        this.grants = this.without(from, to);
        this.ledger.holds.push({
            at: this.ledger.now(),
            upstream: this.id,
            life: this.born,
            what: "release",
            from,
            to,
            fence,
        });
        const answer = () => {
            if ([...(this.working ?? [])].some(({ key }) => key >= from && key <= to)) {
                setTimeout(answer, 5);
                return;
            }
            this.send(request.socket, 200, { ...this.echo(request), "X-Handover": randomBytes(8).toString("hex") });
            done();
        };
        answer();
    }

    /** Ends like a crashed process; its address refuses connections. */
    crash() {
        this.isUp = false;
        clearInterval(this.timer);
        this.state = "gone";
        this.grants = [];
        (this.working ?? new Set()).forEach(run => (run.ended ??= this.ledger.now()));
        this.server.close();
        this.sockets.forEach(socket => socket.resetAndDestroy());
    }
}
