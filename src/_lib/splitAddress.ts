/** A network address as `listen` and `connect` take it. */
export interface HostAndPort {
    readonly host: string;
    readonly port: number;
}

/**
 * Splits an address at its last colon.
 *
 * @param address - such as `10.0.0.1:8080`
 * @returns host and port
 */
export const splitAddress = (address: string): HostAndPort => {
    const colon = address.lastIndexOf(":");
    return { host: address.slice(0, colon), port: Number(address.slice(colon + 1)) };
};
