/**
 * A runner as a process of its own: `node runnerProcess.mjs`. It streams events without a length or chunks, and ends the
 * answer by closing its connection in order. It tells its parent what it runs and sends.
 */
import { createServer } from "node:net";

const backlog = 1;
const events = 25;
const eventMs = 160;
const id = "i-llm";

const report = message => process.send?.(message);

const readHead = text => {
    const [start, ...lines] = text.slice(0, text.indexOf("\r\n\r\n")).split("\r\n");
    const headers = Object.fromEntries(lines.map(line => {
        const at = line.indexOf(":");
        return [line.slice(0, at).toLowerCase(), line.slice(at + 1).trim()];
    }));
    return { start, headers };
};

const stream = (socket, headers) => {
    const attempt = headers["x-sequoiagrade-attempt-id"];
    report({ kind: "run", attempt });
    socket.write([
        "HTTP/1.1 200 OK",
        `X-Sequoiagrade-Attempt-Id: ${attempt}`,
        `X-Sequoiagrade-Response-Stamp: stamp-${id}`,
        "Content-Type: text/event-stream",
        "Connection: close",
        "",
        "",
    ].join("\r\n"));
    let sent = 0;
    const timer = setInterval(() => {
        sent += 1;
        socket.write(`id: ${sent}\ndata: token ${sent}\n\n`);
        if (sent === events) {
            clearInterval(timer);
            report({ kind: "end", attempt, sent });
            socket.end();
        }
    }, eventMs);
    socket.on("close", () => {
        clearInterval(timer);
        report({ kind: "closed", attempt, sent });
    });
};

const server = createServer(socket => {
    let text = "";
    let isBegun = false;
    socket.setNoDelay(true);
    socket.on("error", () => {});
    socket.on("data", data => {
        text += data;
        if (!isBegun && text.includes("\r\n\r\n")) {
            isBegun = true;
            stream(socket, readHead(text).headers);
        }
    });
});

server.listen(
    { host: "127.0.0.1", port: 0, backlog },
    () => report({ kind: "listening", address: `127.0.0.1:${server.address().port}`, id, events }),
);
process.on("disconnect", () => process.exit(0));
