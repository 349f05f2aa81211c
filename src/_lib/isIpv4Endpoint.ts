import { isIPv4 } from "node:net";
import { splitAddress } from "./splitAddress";

const maxPort = 65_535;

/**
 * Whether a text is an IPv4 address and a port that connections can be opened to.
 *
 * @param text - such as `10.0.0.1:8080`
 * @returns whether both are valid, in decimal digits without leading zeros
 */
export const isIpv4Endpoint = (text: string): boolean => {
    const { host, port } = splitAddress(text);
    return isIPv4(host) && Number.isInteger(port) && port > 0 && port <= maxPort
        && text === `${host}:${port}`;
};
