import { openDatagramPort, type DatagramPort } from "../../connection/datagramPort.js";
import type { Logger } from "../observability/logger.js";

/** Highest port; Node.js throws when a datagram is sent to a higher one. */
const MAX_PORT = 65_535;

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
    const isPort = /^\d+$/.test(port ?? "") && Number(port) > 0 && Number(port) <= MAX_PORT;
    return host !== undefined && isPort ? { host, port: Number(port) } : undefined;
};

/** Handles a datagram; returns `false` if it isn't a message of its kind. */
export type DatagramHandler = (content: Buffer, sender: PeerAddress) => boolean;

/**
 * The port through which instances exchange datagrams of several kinds. Without an address, nothing is sent or received.
 *
 * @example
 * const port = new PeerPort({ address, logger });
 * port.handle((content, sender) => receive(content, sender));
 * await port.start();
 */
export class PeerPort {
    private opened: DatagramPort | undefined;
    private readonly handlers: DatagramHandler[] = [];

    constructor(private readonly options: { address: PeerAddress | undefined; logger: Logger }) {}

    /** Adds a handler for datagrams that the earlier handlers don't know. */
    handle(handler: DatagramHandler): void {
        this.handlers.push(handler);
    }

    /** Opens the port. If that fails, this instance neither sends nor receives. */
    async start(): Promise<void> {
        const { address, logger } = this.options;
        if (address === undefined) {
            return;
        }
        const opened = await openDatagramPort({ ...address, received: (...datagram) => this.receive(...datagram) });
        if (opened.isErr()) {
            const { address: taken, detail } = opened.error;
            logger.error("No messages are exchanged with other instances: the port can't be opened.", {
                address: taken,
                detail,
            });
            return;
        }
        this.opened = opened.value;
    }

    /** Sends a datagram, which may be lost. */
    send(address: PeerAddress, content: Buffer): void {
        this.opened?.send(address, content);
    }

    dispose(): void {
        this.opened?.dispose();
        this.opened = undefined;
    }

    private receive(content: Buffer, sender: PeerAddress): void {
        if (!this.handlers.some(handler => handler(content, sender))) {
            this.options.logger.warn("Ignored a datagram of an unknown kind.", { bytes: content.length });
        }
    }
}
