import { repeat, type Clock } from "../runtime/clock.js";
import { DisposableStore } from "../runtime/disposableStore.js";
import type { GatewayTargets } from "./gatewayTargets.js";
import { DECAY_PERIOD_MS, KeyTraffic } from "./keyTraffic.js";
import { LoadExchange } from "./loadExchange.js";
import type { LoadReport } from "./loadReport.js";
import type { PeerAddress, PeerPort } from "./peerPort.js";

/**
 * The load of keys and targets as seen by this instance and, on the one that assigns keys, as reported by the others.
 *
 * @example
 * load.record("stock", 4711);
 * load.weights("stock");
 */
export class SharedLoad {
    private readonly traffic = new Map<string, KeyTraffic>();
    private readonly disposables = new DisposableStore();

    constructor(
        private readonly options: {
            clock: Clock;
            targets: GatewayTargets;
            isKeyed: (service: string) => boolean;
            /** Port through which reports are sent and received. */
            port: PeerPort;
            /** Address for reports of the instance that assigns keys, if it is another one. */
            assigner: () => PeerAddress | undefined;
        },
    ) {}

    start(): void {
        const { clock, port, assigner } = this.options;
        this.disposables.add(repeat(clock, DECAY_PERIOD_MS, () => this.traffic.forEach(traffic => traffic.decay())));
        const exchange = new LoadExchange({
            port,
            clock,
            assigner,
            collect: () => this.collect(),
            received: report => this.applyReport(report),
        });
        this.disposables.add(exchange);
        exchange.start();
    }

    /** Counts a request received by this instance. */
    record(service: string, key: number): void {
        this.trafficOf(service).record(key);
    }

    /** Load of each key of a service. The sum is 1. */
    weights(service: string): Float64Array {
        return this.trafficOf(service).weights();
    }

    dispose(): void {
        void this.disposables.dispose();
    }

    /** Returns the load that this instance has seen since the last call. */
    private collect(): LoadReport[] {
        const targets = [...this.options.targets.all()];
        return [...this.traffic].map(([service, traffic]) => ({
            service,
            keys: traffic.takeUnreported(),
            targets: targets
                .filter(target => target.listed.entry.service === service)
                .flatMap(target => target.takeReport() ?? []),
        }));
    }

    private applyReport({ service, keys, targets }: LoadReport): void {
        if (!this.options.isKeyed(service)) {
            return;
        }
        const traffic = this.trafficOf(service);
        keys.forEach(([key, requests]) => traffic.add(key, requests));
        for (const report of targets) {
            const target = this.options.targets.get(report.id, report.startedAtMs);
            if (target?.listed.entry.service === service) {
                target.mergeReport(report);
            }
        }
    }

    private trafficOf(service: string): KeyTraffic {
        const traffic = this.traffic.get(service) ?? new KeyTraffic();
        this.traffic.set(service, traffic);
        return traffic;
    }
}
