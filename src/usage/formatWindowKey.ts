const keyDigits = 12;

/**
 * Formats the number of a window as the key of a row, in the order of the windows.
 *
 * @param window - number of the window
 * @returns the key
 */
export const formatWindowKey = (window: number): string => String(window).padStart(keyDigits, "0");
