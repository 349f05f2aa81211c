import type { Route, ServedAccount, ServedService, ServingConfiguration } from "./types";

/** Lookup tables for the routes, accounts and services of one configuration. */
export class RouteTable {
    private readonly routesByHost = new Map<string, Route[]>();
    private readonly accountsByKey = new Map<string, ServedAccount>();
    private readonly servicesByName = new Map<string, ServedService>();

    /** Longest time-out of a route with streams, in milliseconds; 0 if there is none. */
    readonly longestStreamMs: number;

    constructor(readonly configuration: ServingConfiguration) {
        const streams = configuration.routes.filter(route => route.isStream);
        this.longestStreamMs = Math.max(0, ...streams.map(route => route.timeoutMs));
        for (const route of configuration.routes) {
            const host = route.host.toLowerCase();
            this.routesByHost.set(host, [...this.routesByHost.get(host) ?? [], route]);
        }
        for (const routes of this.routesByHost.values()) {
            routes.sort((a, b) => b.pathPrefix.length - a.pathPrefix.length);
        }
        for (const account of configuration.accounts) {
            account.keys.forEach(key => this.accountsByKey.set(key, account));
        }
        configuration.services.forEach(service => this.servicesByName.set(service.name, service));
    }

    /** Whether any client account is configured. Without accounts, no request needs an API key. */
    get hasAccounts(): boolean {
        return this.configuration.accounts.length > 0;
    }

    /**
     * Finds the route of a host with the longest path prefix that matches.
     *
     * @param host - value of the Host header, with or without a port
     * @param path - path and query
     * @returns the route, or undefined if none matches
     */
    findRoute(host: string, path: string): Route | undefined {
        const name = host.replace(/:\d+$/, "").toLowerCase();
        return this.routesByHost.get(name)?.find(route => path.startsWith(route.pathPrefix));
    }

    /** Finds the client account of an API key. */
    findAccount(key: string): ServedAccount | undefined {
        return this.accountsByKey.get(key);
    }

    /** Finds a service by name. */
    findService(name: string): ServedService | undefined {
        return this.servicesByName.get(name);
    }
}
