PROGRAMS = lentilward lentilctl lentilstand lentilload lentilsoak
MODULES = schema $(PROGRAMS)
SITE ?= trondelag
NAME ?= steady
SEED ?= 1
MINUTES ?= 1

.PHONY: build demo test generate experiment report capacity soak hunt

build:
	mkdir -p bin
	for p in $(PROGRAMS); do go build -o bin/$$p ./$$p || exit 1; done

demo: build
	scripts/demo.sh

test:
	scripts/test.sh

generate:
	cd schema && GOWORK=off go tool -modfile=../tools/buf/go.mod buf generate

experiment: build
	scripts/experiment.sh $(NAME) $(SITE) $(SEED) $(FILE)

report: build
	bin/lentilload report out --document docs/MEASUREMENTS.md --plots docs/plots

capacity: build
	bin/lentilload capacity docs/slopes.toml --document docs/CAPACITY.md

soak: build
	mkdir -p out/soak-$(SEED)
	bin/lentilsoak --seed $(SEED) --for $(MINUTES)m --folder out/soak-$(SEED)

hunt:
	scripts/hunt.sh $(BENCH) $(SITE) $(DAYS)
