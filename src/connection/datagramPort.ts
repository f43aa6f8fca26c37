import { createSocket } from "node:dgram";
import type { AddressInfo } from "node:net";
import { err, ok, type Result } from "neverthrow";

/** Why a UDP port couldn't be opened. */
export interface DatagramPortError {
    type: "datagram-bind-failed";
    address: string;
    detail: string;
}

/** An open UDP port. Datagrams may be lost, duplicated or reordered. */
export interface DatagramPort {
    port: number;
    /** Sends a datagram; one that can't be sent is silently dropped. */
    send(address: { host: string; port: number }, content: Buffer): void;
    dispose(): void;
}

/**
 * Opens a UDP port.
 *
 * @example
 * const port = await openDatagramPort({ host: "10.1.0.15", port: 7620, received: content => take(content) });
 */
export const openDatagramPort = (options: {
    host: string;
    port: number;
    received: (content: Buffer, sender: { host: string; port: number }) => void;
}): Promise<Result<DatagramPort, DatagramPortError>> => {
    const { host, port, received } = options;
    const socket = createSocket("udp4");
    socket.on("message", (content, { address, port }) => received(content, { host: address, port }));
    return new Promise(resolve => {
        const failed = (error: Error) => {
            socket.close();
            resolve(err({ type: "datagram-bind-failed", address: `${host}:${port}`, detail: error.message }));
        };
        socket.once("error", failed);
        socket.bind({ address: host, port, exclusive: true }, () => {
            socket.off("error", failed);
            // Errors of sent datagrams are ignored: they concern the receiver, which may be gone.
            socket.on("error", () => undefined);
            resolve(
                ok({
                    port: (socket.address() as AddressInfo).port,
                    send: (address, content) => socket.send(content, address.port, address.host, () => undefined),
                    dispose: () => socket.close(),
                }),
            );
        });
    });
};
