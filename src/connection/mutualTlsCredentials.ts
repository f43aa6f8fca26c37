import { isIP, type Socket } from "node:net";
import { connect, type SecureContext, type TLSSocket } from "node:tls";
import * as grpc from "@grpc/grpc-js";

type ConnectorArguments = Parameters<grpc.ChannelCredentials["_createSecureConnector"]>;

/** The host of `dns:host:port`, `host:port` or `[host]:port`. */
const hostOf = (target: string): string =>
    target
        .replace(/^dns:/, "")
        .replace(/^\/+/, "")
        .replace(/:\d+$/, "")
        .replace(/^\[(.*)\]$/, "$1");

const connectSecurely = (socket: Socket, host: string, secureContext: SecureContext): Promise<TLSSocket> =>
    new Promise((resolve, reject) => {
        if (socket.closed) {
            reject(new Error("Socket closed"));
            return;
        }
        const closed = () => reject(new Error("Socket closed"));
        const secure = connect(
            {
                socket,
                secureContext,
                // Node.js verifies the server's certificate against the host, also if there is no server name.
                host,
                servername: isIP(host) === 0 ? host : undefined,
                ALPNProtocols: ["h2"],
            },
            () => {
                secure.off("close", closed);
                secure.off("error", reject);
                resolve(secure);
            },
        );
        secure.once("close", closed);
        secure.once("error", reject);
    });

/**
 * Channel credentials for mutual TLS. Each connection uses the context that is current when it is opened.
 *
 * The credentials of gRPC send the host as the TLS server name even if it is an IP address, which RFC 6066 doesn't
 * permit and Node.js warns of (DEP0123). Here the server name is omitted for an IP address, and the certificate is
 * still verified against the address.
 *
 * @example
 * const client = new grpc.Client("10.1.0.5:7402", new MutualTlsCredentials(() => files.secureContext()));
 */
export class MutualTlsCredentials extends grpc.ChannelCredentials {
    constructor(private readonly secureContext: () => SecureContext) {
        super();
    }

    override _isSecure(): boolean {
        return true;
    }

    override _equals(other: grpc.ChannelCredentials): boolean {
        return other === this;
    }

    override _createSecureConnector(
        target: ConnectorArguments[0],
        options: ConnectorArguments[1],
        callCredentials?: ConnectorArguments[2],
    ): grpc.experimental.SecureConnector {
        // With a proxy, `target` is the address of the proxy.
        const host = hostOf(options["grpc.http_connect_target"] ?? target.path);
        return {
            connect: async socket => ({
                socket: await connectSecurely(socket, host, this.secureContext()),
                secure: true,
            }),
            waitForReady: async () => undefined,
            getCallCredentials: () => callCredentials ?? grpc.CallCredentials.createEmpty(),
            destroy: () => undefined,
        };
    }
}
