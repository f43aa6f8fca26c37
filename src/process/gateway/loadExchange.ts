import { repeat, type Clock } from "../runtime/clock.js";
import { DisposableStore } from "../runtime/disposableStore.js";
import { decodeLoadReport, encodeLoadReport, type LoadReport } from "./loadReport.js";
import type { PeerAddress, PeerPort } from "./peerPort.js";

/** Interval between reports, in milliseconds; the load changes that keys are moved for last for seconds. */
const REPORT_PERIOD_MS = 1_000;

/**
 * Reports the load that the other instances see to the instance that assigns keys. A single instance sees too few requests
 * to detect a hot key or a slow target quickly. Reports are advisory: a lost or late one makes the assignment less even, not
 * wrong.
 *
 * @example
 * const exchange = new LoadExchange({ port, clock, assigner, collect, received });
 * exchange.start();
 */
export class LoadExchange {
    private readonly disposables = new DisposableStore();

    constructor(
        private readonly options: {
            port: PeerPort;
            clock: Clock;
            /** Address of the assigner for reports; `undefined` while it is unknown or is this instance. */
            assigner: () => PeerAddress | undefined;
            /** Returns the load seen since the last call, by service. */
            collect: () => LoadReport[];
            received: (report: LoadReport) => void;
        },
    ) {}

    start(): void {
        this.options.port.handle(content => this.receive(content));
        this.disposables.add(repeat(this.options.clock, REPORT_PERIOD_MS, () => this.report()));
    }

    dispose(): void {
        void this.disposables.dispose();
    }

    private report(): void {
        // Collected even without an assigner to report to, so that a report never covers more than one period.
        const reports = this.options.collect();
        const assigner = this.options.assigner();
        if (assigner !== undefined) {
            reports.flatMap(encodeLoadReport).forEach(datagram => this.options.port.send(assigner, datagram));
        }
    }

    private receive(content: Buffer): boolean {
        const report = decodeLoadReport(content);
        if (report === undefined) {
            return false;
        }
        this.options.received(report);
        return true;
    }
}
