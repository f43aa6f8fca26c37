import { isDeepStrictEqual } from "node:util";
import type { Result } from "neverthrow";
import type { RouteConfig } from "../../version/routeConfig.js";
import { RouteLookup } from "../../version/routeLookup.js";
import type { Logger } from "../observability/logger.js";

/** Why a config was rejected. */
export interface ConfigProblem {
    type: "bad-config";
    detail: string;
}

/**
 * Keeps the newest valid config. A config that is invalid or older than the one in force is ignored, also if the store was
 * restored from a copy without the newer one. A version names one content, so another content of the version in force can only
 * have been written after the store lost the first one; it replaces that.
 *
 * @example
 * const keeper = new ConfigKeeper({ logger, onChange: lookup => server.setLimits(lookup.config.limits) });
 * keeper.apply(decoded);
 */
export class ConfigKeeper {
    private lookup: RouteLookup | undefined;

    constructor(private readonly options: { logger: Logger; onChange: (lookup: RouteLookup) => void }) {}

    /** The routes in force, or `undefined` before the first config. */
    get current(): RouteLookup | undefined {
        return this.lookup;
    }

    apply(decoded: Result<RouteConfig, ConfigProblem>): void {
        const { logger, onChange } = this.options;
        if (decoded.isErr()) {
            logger.error("A config is refused; the last good one stays in force.", {
                version: this.lookup?.config.version,
                detail: decoded.error.detail,
            });
            return;
        }
        const config = decoded.value;
        const current = this.lookup?.config;
        if (current !== undefined && config.version < current.version) {
            logger.warn("An older config is ignored.", { version: config.version, current: current.version });
            return;
        }
        if (current !== undefined && isDeepStrictEqual(config, current)) {
            return;
        }
        logger.info(`Config ${config.version} is in force.`, { routes: config.routes.length });
        this.lookup = new RouteLookup(config);
        onChange(this.lookup);
    }
}
