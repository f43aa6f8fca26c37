import { parsePeerAddress } from "../peerPort.js";

describe("parsePeerAddress", () => {
    it("parses a host and a port", () => {
        expect(parsePeerAddress("10.1.0.15:7620")).toEqual({ host: "10.1.0.15", port: 7_620 });
    });

    it.each(["10.1.0.15:99999", "10.1.0.15:0", "10.1.0.15:1e3", "10.1.0.15:80.5", "10.1.0.15", "", undefined])(
        "guards against a datagram to the address %j of a lease, which would throw",
        text => {
            expect(parsePeerAddress(text)).toBeUndefined();
        },
    );
});
