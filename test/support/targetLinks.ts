import { renameSync, writeFileSync } from "node:fs";
import { FaultProxy } from "./faultProxy.js";

/**
 * How an instance is cut off from targets: its connections hang, or are reset, or are kept while new ones are refused; or only the
 * bytes of its calls, or only those of the answers, are held up, and new connections hang.
 */
export const CUT_KINDS = ["hang", "reset", "kept", "calls", "answers"] as const;
export type CutKind = (typeof CUT_KINDS)[number];

/** A port on which nothing listens. */
const REFUSING_ADDRESS = "127.0.0.1:1";

interface Link {
    proxy: FaultProxy;
    cut: CutKind | undefined;
}

/** The paths from one instance to the targets, each through a proxy of its own, so that chosen pairs can be cut. */
export class TargetLinks {
    private readonly links = new Map<string, Link>();

    /** @param file file that states where the instance's connections lead; see `redirectConnections.mjs` */
    constructor(private readonly file: string) {}

    async add(address: string): Promise<void> {
        this.links.set(address, { proxy: await FaultProxy.listen(address), cut: undefined });
        this.write();
    }

    /** Cuts the instance off from targets, by default from all of them. */
    async cut(kind: CutKind, addresses: Iterable<string> = this.links.keys()): Promise<void> {
        await this.change(kind, addresses);
    }

    /** Ends all cuts. Bytes on connections that still exist are delivered. */
    async heal(): Promise<void> {
        await this.change(undefined, this.links.keys());
    }

    async dispose(): Promise<void> {
        await Promise.all([...this.links.values()].map(({ proxy }) => proxy.dispose()));
    }

    private async change(cut: CutKind | undefined, addresses: Iterable<string>): Promise<void> {
        const changed = [...addresses].map(address => this.links.get(address)).filter(link => link !== undefined);
        changed.forEach(link => (link.cut = cut));
        // New connections are stopped first, so that none is established behind the cut.
        this.write();
        for (const { proxy } of changed) {
            proxy.hold("toServer", cut === "hang" || cut === "calls");
            proxy.hold("toClient", cut === "hang" || cut === "answers");
            if (cut === "reset") {
                proxy.resetConnections();
            }
        }
    }

    private write(): void {
        const redirections = [...this.links].map(([address, { proxy, cut }]) => [address, leadsTo(proxy, cut)]);
        // Replaced as a whole, since gateways read it at any moment.
        writeFileSync(`${this.file}.new`, JSON.stringify(Object.fromEntries(redirections)));
        renameSync(`${this.file}.new`, this.file);
    }
}

const leadsTo = ({ address }: FaultProxy, cut: CutKind | undefined): string => {
    switch (cut) {
        case undefined:
            return address;
        case "hang":
        case "calls":
        case "answers":
            return "hang";
        case "reset":
        case "kept":
            return REFUSING_ADDRESS;
    }
};
