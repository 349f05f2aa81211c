/** Maximum size of a value that members are asked for, in bytes; as much as an answer of the store may have. */
export const maxBodyBytes = 16_777_216;
