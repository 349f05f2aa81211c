const protocols: readonly string[] = ["ws:", "wss:"];

/**
 * Whether a text is a URL that a web socket can be opened to.
 *
 * @param text - such as `ws://10.0.0.1:7000`
 */
export const isPeerUrl = (text: string): boolean => {
    if (!URL.canParse(text)) {
        return false;
    }
    const { protocol, hash, port } = new URL(text);
    return protocols.includes(protocol) && hash === "" && port !== "0";
};
