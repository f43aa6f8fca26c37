import { openDatagramPort, type DatagramPort } from "../../connection/datagramPort.js";
import { repeat, type Clock } from "../runtime/clock.js";
import { DisposableStore } from "../runtime/disposableStore.js";
import type { Logger } from "../observability/logger.js";
import { decodeLoadReport, encodeLoadReport, type LoadReport } from "./loadReport.js";

/** Interval between reports, in milliseconds; the load changes that keys are moved for last for seconds. */
const REPORT_PERIOD_MS = 1_000;

/** Address at which an instance receives datagrams. */
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
 * Reports the load that the other instances see to the instance that assigns keys. A single instance sees too few requests
 * to detect a hot key or a slow target quickly. Reports are advisory: a lost or late one makes the assignment less even, not
 * wrong.
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
            /** Address of the assigner for reports; `undefined` while it is unknown or is this instance. */
            assigner: () => PeerAddress | undefined;
            /** Returns the load seen since the last call, by service. */
            collect: () => LoadReport[];
            received: (report: LoadReport) => void;
        },
    ) {}

    /** Opens the port. If that fails, this instance neither sends nor receives reports. */
    async start(): Promise<void> {
        const { address, clock, logger } = this.options;
        const opened = await openDatagramPort({ ...address, received: content => this.receive(content) });
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
        // Collected even without an assigner to report to, so that a report never covers more than one period.
        const reports = this.options.collect();
        const assigner = this.options.assigner();
        if (assigner !== undefined) {
            reports.flatMap(encodeLoadReport).forEach(datagram => this.port?.send(assigner, datagram));
        }
    }

    private receive(content: Buffer): void {
        const report = decodeLoadReport(content);
        if (report === undefined) {
            this.options.logger.warn("Ignored a datagram that isn't a load report.", { bytes: content.length });
            return;
        }
        this.options.received(report);
    }
}
