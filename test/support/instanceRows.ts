import { Client, credentials } from "@grpc/grpc-js";
import { z } from "zod";
import { peerService, type Control, type ControlBatch } from "../../src/connection/peerProtocol.js";
import { TableReplica } from "../../src/process/store/tableReplica.js";
import { parseJson } from "./httpSupport.js";
import type { RouterInstance } from "./routerCluster.js";

const rowsSchema = z.array(z.object({ key: z.string(), version: z.number(), value: z.unknown().optional() }));
/** Time within which an instance must send its rows, in milliseconds. */
const READ_LIMIT_MS = 15_000;

/** The last output of a daemon that has exited; empty while it runs. */
const describeExit = ({ daemon: { program } }: RouterInstance): string =>
    program.running ? "" : `; its daemon has exited with the last output:\n${program.lastOutput()}`;

/**
 * The rows of an instance, which it sends to any peer that says hello.
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
        const timer = setTimeout(() => reject(new Error(`${instance.name} didn't send its rows.`)), READ_LIMIT_MS);
        const receive = (control: Control) => {
            if (control.note?.kind === "rows") {
                const rows = rowsSchema.parse(parseJson(control.note.payload));
                replica.apply(rows.map(({ key, version, value }) => ({ key, version, value })));
            } else if (control.heartbeatReply) {
                // Messages arrive in order, so all rows have been received.
                clearTimeout(timer);
                resolve(replica);
            }
        };
        stream.on("data", (batch: ControlBatch) => batch.controls.forEach(receive));
        stream.on("error", error => reject(new Error(`${instance.name}: ${error.message}${describeExit(instance)}`)));
        const hello = { instance: "observer", domain: "observer", incarnation: "observer.0", completeRevision: 0 };
        const heartbeat = { sequence: 1, bundleVersion: 0, countsReceiver: false };
        stream.write({ controls: [{ hello }, { heartbeat }] });
    }).finally(() => {
        stream.on("error", () => undefined);
        stream.cancel();
        client.close();
    });
};
