import { ManualClock } from "../../../../test/support/manualClock.js";
import { SILENT_LOGGER } from "../../../../test/support/silentLogger.js";
import { waitFor } from "../../../../test/support/waitFor.js";
import { openDatagramPort } from "../../../connection/datagramPort.js";
import { LoadExchange } from "../loadExchange.js";
import type { LoadReport } from "../loadReport.js";
import { parsePeerAddress, PeerPort, type PeerAddress } from "../peerPort.js";

const HOST = "127.0.0.1";

const createExchange = (port: number, assigner: () => PeerAddress | undefined, reports: LoadReport[] = []) => {
    const clock = new ManualClock();
    const received: LoadReport[] = [];
    const errors: string[] = [];
    const peers = new PeerPort({
        address: { host: HOST, port },
        logger: { ...SILENT_LOGGER, error: message => void errors.push(message) },
    });
    const exchange = new LoadExchange({
        port: peers,
        clock,
        assigner,
        collect: () => reports.splice(0),
        received: report => void received.push(report),
    });
    const start = async () => {
        await peers.start();
        exchange.start();
    };
    const dispose = () => {
        exchange.dispose();
        peers.dispose();
    };
    return { start, dispose, clock, received, errors };
};

/** Returns a UDP port that has just been free. */
const freePort = async (): Promise<number> => {
    const opened = (await openDatagramPort({ host: HOST, port: 0, received: () => undefined }))._unsafeUnwrap();
    opened.dispose();
    return opened.port;
};

describe("LoadExchange", () => {
    it("delivers an instance's report to the assigner, and ignores datagrams that aren't reports", async () => {
        const port = await freePort();
        const assigner = createExchange(port, () => undefined);
        await assigner.start();
        const report: LoadReport = { service: "stock", keys: [[7, 2]], targets: [] };
        const other = createExchange(0, () => ({ host: HOST, port }), [report]);
        await other.start();
        const unrelated = (await openDatagramPort({ host: HOST, port: 0, received: () => undefined }))._unsafeUnwrap();
        unrelated.send({ host: HOST, port }, Buffer.from("nonsense"));
        other.clock.advance(1_000);
        await waitFor(() => assigner.received.length === 1);
        expect(assigner.received).toEqual([report]);
        unrelated.dispose();
        assigner.dispose();
        other.dispose();
    });

    it("continues without reports when its port is in use", async () => {
        const taken = (await openDatagramPort({ host: HOST, port: 0, received: () => undefined }))._unsafeUnwrap();
        const { start, dispose, errors } = createExchange(taken.port, () => undefined);
        await start();
        expect(errors).toHaveLength(1);
        dispose();
        taken.dispose();
    });

    it("parses only complete addresses", () => {
        expect(parsePeerAddress("10.1.0.15:7620")).toEqual({ host: "10.1.0.15", port: 7620 });
        expect([undefined, "", "10.1.0.15", "10.1.0.15:x"].map(parsePeerAddress)).toEqual(Array(4).fill(undefined));
    });
});
