import { existsSync } from "node:fs";
import { join } from "node:path";
import { DisposableStore } from "../../src/process/runtime/disposableStore.js";
import { readExecutionLog, type ExecutionEvent } from "./executionLog.js";
import { FaultProxy } from "./faultProxy.js";
import { PlatformHandle, postControl } from "./platformHandle.js";
import { createTempFolder, Programs, type RunningProgram } from "./programs.js";
import type { TargetControl, TargetSettings } from "./targetOptions.js";

/** A service of a test cluster and the options of its targets. */
export interface ClusterService {
    name: string;
    targetsPerDomain: number;
    options?: Omit<TargetSettings, "service" | "target">;
}

/** A target of a test cluster. */
export interface ClusterTarget {
    name: string;
    service: string;
    domain: string;
    /** The listed address: the proxy's if there is one, else the target's own. */
    address: string;
    program: RunningProgram;
    proxy: FaultProxy | undefined;
    logFile: string;
}

/** A daemon of a test cluster. */
export interface ClusterDaemon {
    instance: string;
    domain: string;
    program: RunningProgram;
}

/** Starts one daemon of a cluster. */
export type DaemonStart = (context: {
    cluster: TestCluster;
    instance: string;
    domain: string;
}) => Promise<RunningProgram>;

export interface ClusterOptions {
    domains: readonly string[];
    services: readonly ClusterService[];
    /** Whether each target is behind its own fault proxy. */
    proxied?: boolean;
}

/**
 * A platform and the targets of each service and domain as processes, registered in the instance list. Daemons are
 * started by a function that the test supplies.
 *
 * @example
 * const cluster = await TestCluster.start({ domains: ["d1"], services: [{ name: "stock", targetsPerDomain: 2 }] });
 * await cluster.startDaemon("d1", "a1", startDaemonProcess);
 * await cluster.dispose();
 */
export class TestCluster {
    readonly targets: ClusterTarget[] = [];
    readonly daemons: ClusterDaemon[] = [];

    private constructor(
        private readonly options: ClusterOptions,
        private readonly store: DisposableStore,
        readonly programs: Programs,
        readonly platform: PlatformHandle,
        /** Folder for the files of this cluster; removed on disposal. */
        readonly folder: string,
    ) {}

    static async start(options: ClusterOptions): Promise<TestCluster> {
        const store = new DisposableStore();
        try {
            const folder = await createTempFolder();
            store.add(folder);
            const programs = new Programs();
            store.add(programs);
            const platform = await programs.start("test/support/platformMain.js", []);
            const handle = new PlatformHandle(platform.listening.http);
            const cluster = new TestCluster(options, store, programs, handle, folder.path);
            for (const service of options.services) {
                for (const domain of options.domains) {
                    for (let index = 1; index <= service.targetsPerDomain; index++) {
                        await cluster.startTarget(service.name, domain, `${service.name}-${domain}-${index}`);
                    }
                }
            }
            return cluster;
        } catch (error) {
            await store.dispose();
            throw error;
        }
    }

    /** Ends all processes. Throws if a daemon had exited with an error by itself, which no injected fault causes. */
    async dispose(): Promise<void> {
        const crashed = this.daemons.filter(({ program }) => program.hasFailed);
        await this.store.dispose();
        if (crashed.length > 0) {
            const ends = crashed.map(({ instance, program }) => `${instance} crashed:\n${program.lastOutput()}`);
            throw new Error(ends.join("\n"));
        }
    }

    /** Starts a target and adds it to the instance list, also after the start of the cluster. */
    async startTarget(service: string, domain: string, name: string): Promise<ClusterTarget> {
        const logFile = join(this.folder, `${name}.log`);
        const program = await this.startTargetProgram(service, name, logFile);
        const proxy = this.options.proxied ? await FaultProxy.listen(program.listening.http) : undefined;
        if (proxy !== undefined) {
            this.store.add(proxy);
        }
        const address = proxy?.address ?? program.listening.http;
        const target = { name, service, domain, address, program, proxy, logFile };
        this.refuseAfterEnd(target);
        this.targets.push(target);
        await this.listTarget(target);
        return target;
    }

    /** Restarts an ended target under its name; its address stays the same only behind a proxy. */
    async restartTarget(target: ClusterTarget): Promise<void> {
        await target.program.kill();
        target.program = await this.startTargetProgram(target.service, target.name, target.logFile);
        this.refuseAfterEnd(target);
        target.proxy?.setUpstream(target.program.listening.http);
        await target.proxy?.accept();
        target.address = target.proxy?.address ?? target.program.listening.http;
        await this.listTarget(target);
    }

    controlTarget(target: ClusterTarget, control: TargetControl): Promise<void> {
        return postControl(target.program.listening.control, "/control", control);
    }

    async startDaemon(domain: string, instance: string, start: DaemonStart): Promise<ClusterDaemon> {
        const daemon = { instance, domain, program: await start({ cluster: this, instance, domain }) };
        this.daemons.push(daemon);
        return daemon;
    }

    /** The logged events of all targets, including killed ones. */
    events(): ExecutionEvent[] {
        return this.targets.flatMap(({ logFile }) => (existsSync(logFile) ? readExecutionLog(logFile) : []));
    }

    private startTargetProgram(service: string, target: string, logFile: string): Promise<RunningProgram> {
        const declared = this.options.services.find(({ name }) => name === service);
        const options = JSON.stringify({ ...declared?.options, service, target });
        return this.programs.start("test/support/targetMain.js", ["--options", options, "--log", logFile]);
    }

    private listTarget({ name, service, domain, address }: ClusterTarget): Promise<void> {
        return this.platform.changeInstance({ name, role: "target", service, domain, address, state: "live" });
    }

    /** Makes the proxy of a target refuse connections after the target's process has ended, as a closed port does. */
    private refuseAfterEnd(target: ClusterTarget): void {
        const { program, proxy } = target;
        void program.ended.then(() => (target.program === program ? proxy?.refuse() : undefined));
    }
}
