import { Client, credentials } from "@grpc/grpc-js";
import { z } from "zod";
import { peerService, type Control, type ControlBatch } from "../../src/connection/peerProtocol.js";
import { TableReplica } from "../../src/process/store/tableReplica.js";
import { parseJson } from "./httpSupport.js";
import type { RouterInstance } from "./routerCluster.js";

const rowsSchema = z.array(z.object({ key: z.string(), version: z.number(), value: z.unknown().optional() }));
/** Time within which an instance must state its rows, in milliseconds. */
const READ_LIMIT_MS = 15_000;

/** What a daemon that has ended wrote last; empty while it runs. */
const endOf = ({ daemon: { program } }: RouterInstance): string =>
    program.running ? "" : `; its daemon has ended, and wrote last:\n${program.lastOutput()}`;

/**
 * The rows that an instance holds, which it tells any peer that introduces itself.
 *
 * @example
 * const replica = await instanceRows(router.instances[0]);
 */
export const instanceRows = (instance: RouterInstance): Promise<TableReplica> => {
    const client = new Client(instance.daemon.program.listening.peers, credentials.createInsecure());
    const { path, requestSerialize, responseDeserialize } = peerService.control;
    const stream = client.makeBidiStreamRequest(path, requestSerialize, responseDeserialize);
    const replica = new TableReplica();
    return new Promise<TableReplica>((resolve, reject) => {
        const timer = setTimeout(() => reject(new Error(`${instance.name} didn't state its rows.`)), READ_LIMIT_MS);
        const receive = (control: Control) => {
            if (control.note?.kind === "rows") {
                const rows = rowsSchema.parse(parseJson(control.note.payload));
                replica.apply(rows.map(({ key, version, value }) => ({ key, version, value })));
            } else if (control.heartbeatReply) {
                // Messages keep their order, so all rows have come.
                clearTimeout(timer);
                resolve(replica);
            }
        };
        stream.on("data", (batch: ControlBatch) => batch.controls.forEach(receive));
        stream.on("error", error => reject(new Error(`${instance.name}: ${error.message}${endOf(instance)}`)));
        const hello = { instance: "observer", domain: "observer", incarnation: "observer.0", completeRevision: 0 };
        const heartbeat = { sequence: 1, bundleVersion: 0, countsReceiver: false };
        stream.write({ controls: [{ hello }, { heartbeat }] });
    }).finally(() => {
        stream.on("error", () => undefined);
        stream.cancel();
        client.close();
    });
};
