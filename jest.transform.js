import { createHash } from "node:crypto";
import { createTransformer as createSwcTransformer } from "@swc/jest";

/**
 * Jest runs tests in a context whose global object is looked up through an interceptor, which makes each use of `Math`
 * many times slower than in Node. Each module therefore gets its own constant `Math`; the option
 * `sandboxInjectedGlobals` does so only for CommonJS modules.
 */
const PREFIX = "const Math = globalThis.Math; ";

const withPrefix = ({ code, ...rest }) => ({ ...rest, code: PREFIX + code });

export const createTransformer = options => {
    const swc = createSwcTransformer(options);
    return {
        canInstrument: swc.canInstrument,
        getCacheKey: (...source) =>
            createHash("sha1")
                .update(swc.getCacheKey(...source))
                .update(PREFIX)
                .digest("hex"),
        process: (...source) => withPrefix(swc.process(...source)),
        processAsync: async (...source) => withPrefix(await swc.processAsync(...source)),
    };
};

export default { createTransformer };
