"""The demo: calls of each kind through several VMs, checked against bills and executions."""

import argparse
import http.client
import json
import os
import sys
import time

from bills import read_bills
from deployment import Deployment, DeploymentError, call, wait_for

# Two regions and three failure domains; sierra-a has two VMs so that bills are copied to a peer.
VMS = [("sierra-a-1", "sierra-a", "sierra"), ("sierra-a-2", "sierra-a", "sierra"),
       ("sierra-b-1", "sierra-b", "sierra"), ("costa-a-1", "costa-a", "costa")]

REPORT = ("Write the narrative report on house prices in the canton for the last quarter. Name the "
          "districts that rose, those that fell, and the number of sales recorded.")

REVISION_TEAM = "registry"


class CheckFailed(Exception):
    """A check of the demo failed; the message gives the expected and the actual value."""


def check(condition, message):
    if not condition:
        raise CheckFailed(message)


def uuid7():
    """Returns an idempotency key (UUIDv7) that contains its creation time, so that the VMs can
    tell an old key from a new one."""
    stamp = int(time.time() * 1000).to_bytes(6, "big")
    rest = bytearray(os.urandom(10))
    rest[0] = (rest[0] & 0x0F) | 0x70
    rest[2] = (rest[2] & 0x3F) | 0x80
    text = (stamp + bytes(rest)).hex()
    return "-".join([text[:8], text[8:12], text[12:16], text[16:20], text[20:]])


def bearer(team, **more):
    return {"Authorization": f"Bearer token-{team}", "Content-Type": "application/json", **more}


def lower(headers):
    return {name.lower(): value for name, value in headers.items()}


def send_streamed_chat(port, team, body):
    """Streams one chat; returns (headers, content, last event)."""
    connection = http.client.HTTPConnection("127.0.0.1", port, timeout=60)
    connection.request("POST", "/v1/chat/completions", json.dumps({**body, "stream": True}),
                       bearer(team))
    response = connection.getresponse()
    if response.status != 200:
        raise CheckFailed(f"The streamed chat was refused with {response.status}: "
                          f"{response.read().decode()}")
    content, last, done = "", {}, False
    for line in response:
        text = line.decode().strip()
        if not text.startswith("data: "):
            continue
        if text == "data: [DONE]":
            done = True
            continue
        last = json.loads(text[6:])
        check("error" not in last, f"The stream ended with an error: {last}")
        content += last["choices"][0]["delta"].get("content", "")
    connection.close()
    check(done, "The stream ended without [DONE].")
    return lower(dict(response.getheaders())), content, last


def send_whole_chat(port, team, body):
    status, headers, text = call(port, "POST", "/v1/chat/completions", body, bearer(team))
    check(status == 200, f"The chat was refused with {status}: {text}")
    answer = json.loads(text)
    return lower(headers), answer["choices"][0]["message"]["content"], answer


def show(title, headers, content, answer):
    """Prints one chat's answer, version and cost; returns its request id."""
    version = headers["wagtailhitch-version"]
    usage = answer["usage"]
    print(f"\n== {title}\n   answer:  {content.strip()[:160]}")
    print(f"   version: {version}   cost: {usage['cost']:.6f}   tokens: "
          f"{usage['prompt_tokens']} + {usage['completion_tokens']}")
    check(content.startswith(f"[{version}] "),
          f"The answer of version {version} begins with {content[:20]!r}.")
    check(usage["cost"] > 0, f"The cost of {title} is {usage['cost']}.")
    return {"title": title, "request": headers["wagtailhitch-request-id"], "version": version,
            "cost": usage["cost"]}


def run_chats(ports):
    def chat(model, text):
        return {"model": model, "messages": [{"role": "user", "content": text}]}
    return [
        show("narrative report, streamed", *send_streamed_chat(
            ports["sierra-a-1"], "bulletins", chat("report", REPORT))),
        show("short question", *send_whole_chat(
            ports["sierra-b-1"], "almanac", chat("question", "Did prices rise in May?"))),
        show("classification", *send_whole_chat(
            ports["costa-a-1"], "tomebamba", chat("classification", "Sale or rent: flat, 3 rooms"))),
    ]


def executions(deployment):
    """Counts the executions of each revision over all replicas of the service."""
    out = {}
    for name, port in deployment.ports.items():
        if name.endswith("-indices"):
            items = json.loads(call(port, "GET", "/v1/executions")[2])["items"]
            for item in items:
                mark = item["key"] or item["body_digest"]
                out[mark] = out.get(mark, 0) + item["count"]
    return out


def run_revision(deployment):
    """Sends one revision twice with one key, through two VMs in different failure domains. Only the
    first use is billed, so both answers belong to one bill."""
    key = uuid7()
    body = {"series": "cuenca-centro", "month": "2026-10", "value": 104.2}
    answers = []
    for vm in ("sierra-a-2", "costa-a-1"):
        status, headers, text = call(deployment.ports[vm], "POST", "/v1/services/indices/revise",
                                     body, bearer(REVISION_TEAM, **{"Idempotency-Key": key}))
        print(f"\n== index revision through {vm}\n   status:  {status}   answer: {text[:160]}")
        check(status == 200, f"The revision through {vm} was answered with {status}: {text}")
        answers.append(text)
    check(answers[0] == answers[1],
          f"The two answers to one key differ: {answers[0]} and {answers[1]}.")
    counts = executions(deployment)
    check(sum(counts.values()) == 1, f"Expected one execution of the revision, got {counts}.")
    print("   the service ran it once")


def check_bills(deployment, chats):
    wanted = {chat["request"] for chat in chats}

    def complete():
        bills = read_bills(deployment.records("bills"))
        revision = any(bill["team"] == REVISION_TEAM for bill in bills.values())
        return bills if revision and wanted <= set(bills) else None
    bills = wait_for("the bills of all requests", complete)
    print("\n== bills on the log")
    for request, bill in sorted(bills.items()):
        versions = ", ".join(line["version"] or line["upstream"] for line in bill["lines"])
        print(f"   {request}  {bill['team']}  {bill['outcome']}  {versions}  {bill['cost']:.6f}")
    check(len(bills) == len(chats) + 1, f"Expected one bill for each of {len(chats)} chats and the "
          f"revision, got {len(bills)}.")
    for chat in chats:
        cost = bills[chat["request"]]["cost"]
        check(abs(cost - chat["cost"]) < 2e-6, f"The bill of the {chat['title']} is {cost:.6f}, "
              f"its answer said {chat['cost']:.6f}.")
    return bills


def print_curl_lines(deployment):
    base = f"http://127.0.0.1:{deployment.ports['sierra-a-1']}"
    print(f"\nThe deployment stays up; its files are in {deployment.root}")
    print("\n".join(deployment.environment()))
    print(f"""
curl -sN {base}/v1/chat/completions -H 'Authorization: Bearer token-bulletins' \\
  -d '{{"model":"report","stream":true,"messages":[{{"role":"user","content":"Report on May."}}]}}'
curl -s {base}/v1/services/indices/revise -H 'Authorization: Bearer token-registry' \\
  -H 'Idempotency-Key: {uuid7()}' -d '{{"series":"cuenca-centro","value":104.2}}'
curl -s {base}/v1/in-force
curl -s {base}/v1/status
curl -s {base}/metrics""")
    print("kill " + " ".join(str(p.child.pid) for p in reversed(deployment.processes)))


def stop(deployment):
    codes = deployment.stop()
    bad = {name: code for name, code in codes.items() if code != 0}
    check(not bad, f"Expected exit code 0 of every process, got {bad}; logs are in "
          f"{deployment.root}.")
    print(f"\nstopped {len(codes)} processes gracefully")


def run(options):
    deployment = Deployment("samples/cuenca", options.build, VMS,
                            ["--token-us", 3000, "--minimum-tokens", 40, "--maximum-tokens", 120])
    kept = False
    try:
        deployment.start()
        print(f"started {len(deployment.processes)} processes; {deployment.submit()}")
        chats = run_chats(deployment.ports)
        run_revision(deployment)
        check_bills(deployment, chats)
        deployment.check_alive()
        if options.keep:
            kept = True
            print_curl_lines(deployment)
            return 0
        stop(deployment)
        deployment.remove_files()
        print("all checks passed")
        return 0
    except (CheckFailed, DeploymentError, OSError, KeyError, ValueError) as failure:
        print(f"\nFAILED: {type(failure).__name__}: {failure}", file=sys.stderr)
        print(f"logs are in {deployment.root}", file=sys.stderr)
        return 1
    finally:
        if not kept:
            deployment.stop()


def main():
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--build", required=True, help="build folder with the two programs")
    parser.add_argument("--keep", action="store_true", help="leave the deployment up")
    return run(parser.parse_args())


if __name__ == "__main__":
    sys.exit(main())
