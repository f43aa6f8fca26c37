import { isDeepStrictEqual } from "node:util";
import type { Result } from "neverthrow";
import type { RouteConfig } from "../../version/routeConfig.js";
import { RouteLookup } from "../../version/routeLookup.js";
import type { Logger } from "../observability/logger.js";
import type { Clock } from "../runtime/clock.js";

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
 * const onChange = (lookup: RouteLookup) => server.setLimits(lookup.config.limits);
 * const keeper = new ConfigKeeper({ clock, logger, knownUntil: () => follower.completeUntil, onChange });
 * keeper.apply(decoded);
 */
export class ConfigKeeper {
    private lookup: RouteLookup | undefined;
    private beganAt = 0;
    private maxDelayMs = 0;

    constructor(
        private readonly options: {
            clock: Clock;
            logger: Logger;
            /** Monotonic time in milliseconds up to which all configs have been applied; `-Infinity` before the first. */
            knownUntil: () => number;
            onChange: (lookup: RouteLookup) => void;
        },
    ) {}

    /** The routes in force, or `undefined` before the first config. */
    get current(): RouteLookup | undefined {
        return this.lookup;
    }

    /** Time since the config in force came into force, in milliseconds; 0 before the first. */
    ageMs(): number {
        return this.lookup === undefined ? 0 : this.options.clock.monotonicMs() - this.beganAt;
    }

    /**
     * Maximum time from the write of the config in force until it came into force, in milliseconds; 0 for the first one, as
     * nothing was known before.
     */
    delayMs(): number {
        return this.maxDelayMs;
    }

    apply(decoded: Result<RouteConfig, ConfigProblem>): void {
        const { clock, logger, knownUntil, onChange } = this.options;
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
        this.beganAt = clock.monotonicMs();
        const delayMs = this.beganAt - knownUntil();
        this.maxDelayMs = Number.isFinite(delayMs) ? delayMs : 0;
        logger.info(`Config ${config.version} is in force.`, {
            routes: config.routes.length,
            maxDelayMs: Math.round(this.maxDelayMs),
        });
        this.lookup = new RouteLookup(config);
        onChange(this.lookup);
    }
}
