#!/usr/bin/env python3
"""Renders the deployment's settings with each combination of optional fields and checks that the result is JSON.

Usage: settings_template.py TEMPLATE
"""
import itertools
import json
import re
import sys

FIELDS = {
    "node": "front-1", "zone": "a", "zones": {"a": "r", "b": "r"}, "ip": "10.1.0.1", "internalPortRange": [7000, 7999],
    "seeds": ["10.1.0.2:7000"], "platform": {"addr": "10.2.0.1:7000"}, "listen": {"front": "10.1.0.1:80"},
    "limits": {"cpuShare": 0.25, "memoryMb": 260, "maxFds": 4100},
    "bounds": {"graceS": 6, "status_s": 120, "holdMaxMs": 10000, "harmMs": 4000, "farX": 1.5},
}
OPTIONAL = [("limits", "memoryMb"), ("limits", "maxFds"), ("bounds", "farX"), ("listen", "front")]
SECTION = re.compile(r"\{\{#([\w.]+)\}\}((?:(?!\{\{#\1\}\}).)*?)\{\{/\1\}\}", re.S)
VALUE = re.compile(r"\{\{([\w.@,]+)(\|json)?\}\}")


def look_up(path, scopes):
    for scope in reversed(scopes):
        value = scope
        for part in path.split("."):
            value = value[int(part)] if isinstance(value, list) else value.get(part) if isinstance(value, dict) else None
        if value is not None:
            return value
    return None


def render(text, scopes, special):
    def section(match):
        value = look_up(match[1], scopes)
        if value is None or value is False:
            return ""
        entries = list(value.items()) if isinstance(value, dict) else list(enumerate(value)) if isinstance(value, list) else [("", value)]
        return "".join(render(match[2], [*scopes, entry], {".": entry, "@": key, ",": "," if index + 1 < len(entries) else ""})
                       for index, (key, entry) in enumerate(entries))

    def placeholder(match):
        value = special[match[1]] if match[1] in special else look_up(match[1], scopes)
        if match[2]:
            return json.dumps(value)
        return "" if value is None else str(value)

    return VALUE.sub(placeholder, SECTION.sub(section, text))


def main():
    with open(sys.argv[1]) as file:
        template = file.read()
    faults = []
    for absent in itertools.chain.from_iterable(itertools.combinations(OPTIONAL, count) for count in range(len(OPTIONAL) + 1)):
        fields = json.loads(json.dumps(FIELDS))
        for table, name in absent:
            del fields[table][name]
        text = render(template, [fields], {})
        try:
            limits = json.loads(text)["limits"]
            expected = {"memoryMb": "memory_mb", "maxFds": "descriptors"}
            if set(limits) != {name for field, name in expected.items() if field in fields["limits"]}:
                faults.append(f"without {absent}: got limits {limits}")
        except ValueError as error:
            faults.append(f"without {absent}: {error}")
    print("\n".join(faults) or "the settings are JSON with each combination of optional fields")
    return 1 if faults else 0


if __name__ == "__main__":
    sys.exit(main())
