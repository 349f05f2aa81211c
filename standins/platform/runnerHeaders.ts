/** Header that states that a request was not executed. */
export const notExecutedHeader = "x-sequoiagrade-not-executed";

/** Header with the id of an attempt. */
export const attemptIdHeader = "x-sequoiagrade-attempt-id";

/** Header that names the upstream that a request is for. */
export const expectInstanceHeader = "x-sequoiagrade-expect-instance";
