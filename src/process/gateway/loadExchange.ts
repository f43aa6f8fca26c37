import { openDatagramPort, type DatagramPort } from "../../connection/datagramPort.js";
import { repeat, type Clock } from "../runtime/clock.js";
import { DisposableStore } from "../runtime/disposableStore.js";
import type { Logger } from "../observability/logger.js";
import { decodeLoadReport, encodeLoadReport, type LoadReport } from "./loadReport.js";

/** Time between two reports, in milliseconds: the load that moves answer lasts for seconds. */
const REPORT_PERIOD_MS = 1_000;

/** An address of an instance for datagrams. */
export interface PeerAddress {
    host: string;
    port: number;
}

/**
 * Parses `HOST:PORT`; `undefined` for anything else.
 *
 * @example
 * parsePeerAddress("10.1.0.15:7620"); // { host: "10.1.0.15", port: 7620 }
 */
export const parsePeerAddress = (text: string | undefined): PeerAddress | undefined => {
    const [host, port] = text?.split(":") ?? [];
    return host !== undefined && Number(port) > 0 ? { host, port: Number(port) } : undefined;
};

/**
 * Tells the instance that assigns keys what the others see of the load. An instance alone sees too few requests to tell a
 * busy key or a slow target soon. Reports are advice: a lost or late one makes the assignment less even, not wrong.
 *
 * @example
 * const exchange = new LoadExchange({ address, clock, logger, assigner, collect, received });
 * await exchange.start();
 */
export class LoadExchange {
    private port: DatagramPort | undefined;
    private readonly disposables = new DisposableStore();

    constructor(
        private readonly options: {
            address: PeerAddress;
            clock: Clock;
            logger: Logger;
            /** Where the assigner takes reports; `undefined` while it isn't known or is this instance. */
            assigner: () => PeerAddress | undefined;
            /** What was seen since the last call, by service. */
            collect: () => LoadReport[];
            received: (report: LoadReport) => void;
        },
    ) {}

    /** Opens the port. Without it, the assigner goes by what it sees itself. */
    async start(): Promise<void> {
        const { address, clock, logger } = this.options;
        const opened = await openDatagramPort({ ...address, received: content => this.take(content) });
        if (opened.isErr()) {
            const { address: taken, detail } = opened.error;
            logger.error("Load isn't reported: the port can't be opened.", { address: taken, detail });
            return;
        }
        this.port = opened.value;
        this.disposables.add(opened.value);
        this.disposables.add(repeat(clock, REPORT_PERIOD_MS, () => this.report()));
    }

    dispose(): void {
        void this.disposables.dispose();
    }

    private report(): void {
        // Collected even when there is nobody to tell, so that a report never covers more than one period.
        const reports = this.options.collect();
        const assigner = this.options.assigner();
        if (assigner !== undefined) {
            reports.flatMap(encodeLoadReport).forEach(datagram => this.port?.send(assigner, datagram));
        }
    }

    private take(content: Buffer): void {
        const report = decodeLoadReport(content);
        if (report === undefined) {
            this.options.logger.warn("A datagram is no report of load; it is ignored.", { bytes: content.length });
            return;
        }
        this.options.received(report);
    }
}
