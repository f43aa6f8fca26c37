import type { Route, RouteConfig, RoutedService } from "./routeConfig.js";

/** The routes of one host by prefix. */
interface HostRoutes {
    byPrefix: Map<string, Route>;
}

const hostOfHeader = (header: string): string => {
    const name = header.toLowerCase();
    const colon = name.lastIndexOf(":");
    return colon > name.lastIndexOf("]") ? name.slice(0, colon) : name;
};

/**
 * Finds the route of a request by its host and the longest matching prefix of its path. A lookup takes at most one step
 * for each slash of the path, independent of the number of routes.
 *
 * @example
 * const lookup = new RouteLookup(config);
 * lookup.find("shop.example:80", "/stock/tray-30?full=1")?.name; // "stock"
 */
export class RouteLookup {
    private readonly hosts = new Map<string, HostRoutes>();
    private readonly services: Map<string, RoutedService>;

    constructor(readonly config: RouteConfig) {
        this.services = new Map(config.services.map(service => [service.name, service]));
        for (const route of config.routes) {
            const host = route.host.toLowerCase();
            const routes = this.hosts.get(host) ?? { byPrefix: new Map<string, Route>() };
            routes.byPrefix.set(route.prefix, route);
            this.hosts.set(host, routes);
        }
    }

    /** The route for a `Host` header and a request target, or `undefined` when none matches. */
    find(host: string, url: string): Route | undefined {
        const routes = this.hosts.get(host.toLowerCase()) ?? this.hosts.get(hostOfHeader(host));
        if (routes === undefined) {
            return undefined;
        }
        const query = url.indexOf("?");
        const path = query < 0 ? url : url.slice(0, query);
        for (let slash = path.lastIndexOf("/"); slash >= 0; slash = path.lastIndexOf("/", slash - 1)) {
            const route = routes.byPrefix.get(path.slice(0, slash + 1));
            if (route !== undefined || slash === 0) {
                return route;
            }
        }
        return undefined;
    }

    service(name: string): RoutedService | undefined {
        return this.services.get(name);
    }
}
