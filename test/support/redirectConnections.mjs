// Loaded into the process of a gateway by `GatewayFleet`. Leads its connections to targets through the proxies of the table in
// `REDIRECTIONS`, a JSON file by address: another address, or `hang` for a connection that is never established.
import { readFileSync } from "node:fs";
import { Socket } from "node:net";

const connect = Socket.prototype.connect;
const redirections = () => JSON.parse(readFileSync(process.env.REDIRECTIONS, "utf8"));

Socket.prototype.connect = function (...args) {
    const options = Array.isArray(args[0]) ? args[0][0] : args[0];
    const redirection = redirections()[`${options?.host}:${options?.port}`];
    if (redirection === "hang") {
        this.connecting = true;
        return this;
    }
    if (redirection !== undefined) {
        const [host, port] = redirection.split(":");
        Object.assign(options, { host, port: Number(port) });
    }
    return connect.apply(this, args);
};
