// Upstreams in processes of their own, so that many of them answer as fast as sound ones do.
import { fork } from "node:child_process";

export class UpstreamHosts {
    hosts = [];
    /** Host of each upstream. */
    placed = new Map();
    questions = new Map();
    asked = 0;

    constructor(store, processes) {
        for (let index = 0; index < processes; index++) {
            const host = fork(new URL("upstreamHost.mjs", import.meta.url), { serialization: "advanced" });
            host.on("message", message => {
                if (message.type === "put") {
                    store.put(message.table, message.key, message.value);
                    return;
                }
                this.questions.get(message.question)?.(message.result);
                this.questions.delete(message.question);
            });
            this.hosts.push(host);
        }
    }

    ask(host, message) {
        const question = ++this.asked;
        return new Promise(resolve => {
            this.questions.set(question, resolve);
            host.send({ ...message, question });
        });
    }

    start(options) {
        const host = this.hosts[this.placed.size % this.hosts.length];
        this.placed.set(options.id, host);
        return this.ask(host, { type: "start", options });
    }

    drain(id) {
        return this.ask(this.placed.get(id), { type: "drain", id });
    }

    crash(id) {
        return this.ask(this.placed.get(id), { type: "crash", id });
    }

    /** Runs that began in a time, given in Unix milliseconds, and the longest time for which a host didn't get to run. */
    async runs(from, until) {
        const found = await Promise.all(this.hosts.map(host => this.ask(host, { type: "runs", from, until })));
        return { runs: found.flatMap(({ runs }) => runs), lagMs: Math.max(...found.map(({ lagMs }) => lagMs)) };
    }

    dispose() {
        this.hosts.forEach(host => host.kill("SIGKILL"));
    }
}
