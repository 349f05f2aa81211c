const [quote, backslash, comma, bracket, brace] = [..."\"\\,[{"].map(text => text.charCodeAt(0));

/**
 * Counts the fields and elements of a JSON text, without what stands in its strings.
 *
 * @param text - the text, valid or not
 * @returns their number, or a little more
 */
export const countJsonFields = (text: Buffer): number => {
    let count = 0;
    let isInString = false;
    for (let index = 0; index < text.length; index += 1) {
        const byte = text[index];
        if (isInString && byte === backslash) {
            index += 1;
        }
        else if (byte === quote) {
            isInString = !isInString;
        }
        else if (!isInString && (byte === comma || byte === bracket || byte === brace)) {
            count += 1;
        }
    }
    return count;
};
